# Compile options shared by all targets. Warnings are errors; BM_SANITIZE enables the sanitizers.
add_library(bm_options INTERFACE)
target_compile_options(bm_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
target_compile_definitions(bm_options INTERFACE BM_VERSION="${PROJECT_VERSION}"
                           BOOST_ASIO_NO_DEPRECATED)
# gcc 12 reports false positives for std::string concatenation.
target_compile_options(bm_options INTERFACE -Wno-restrict)
if(BM_SANITIZE)
  target_compile_options(bm_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all
                         -O1 -fno-omit-frame-pointer)
  target_link_options(bm_options INTERFACE -fsanitize=address,undefined)
  # gcc reports false positives when the sanitizers instrument inlined code.
  target_compile_options(bm_options INTERFACE -Wno-maybe-uninitialized)
endif()

# bm_package(NAME [DEPENDS target...]) defines library bm_NAME from src/*.cpp and, when tests/*.cpp
# exist, the test program bm_NAME_test and its ctest entry.
function(bm_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  add_library(bm_${name} STATIC ${sources})
  target_include_directories(bm_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
                             PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(bm_${name} PUBLIC ${ARG_DEPENDS} PRIVATE bm_options)
  bm_tests(${name} DEPENDS bm_${name} ${ARG_TEST_DEPENDS})
endfunction()

function(bm_tests name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(tests AND BM_TESTING)
    # All test programs use the test runner of the base package.
    list(APPEND tests ${CMAKE_SOURCE_DIR}/packages/base/tests/main.cpp)
    list(REMOVE_DUPLICATES tests)
    add_executable(bm_${name}_test ${tests})
    target_include_directories(bm_${name}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(bm_${name}_test PRIVATE ${ARG_DEPENDS} PkgConfig::CPPUTEST bm_options)
    add_test(NAME ${name} COMMAND bm_${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
