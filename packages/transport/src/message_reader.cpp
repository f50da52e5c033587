#include "message_reader.h"

#include <boost/beast/core/read_size.hpp>

#include <algorithm>

namespace balsammount::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

// Initial capacity of a read buffer, which most messages fit in. Beast reads 512 bytes at a time
// into a buffer without capacity, so a message of 5 KB would need ten reads.
constexpr size_t kReadBufferBytes = 4096;

// Capacity for reading long bodies with few system calls.
constexpr size_t kBodyReadBytes = 16 * 1024;

} // namespace

ReadBuffer::ReadBuffer(size_t aMaxHeaderBytes, std::shared_ptr<ResourceHolder> aHolder)
  : mBuffer(aMaxHeaderBytes + kMaxReadAheadBytes)
  , mHeld(std::move(aHolder))
{
}

asio::awaitable<beast::error_code> ReadBuffer::ReadSome(beast::tcp_stream& aStream)
{
  if (mBuffer.capacity() == 0) {
    mHeld.SetTo(kReadBufferBytes);
    mBuffer.reserve(kReadBufferBytes);
  }
  const size_t room = beast::read_size(mBuffer, kMaxReadAheadBytes);
  if (room == 0) {
    co_return beast::http::error::buffer_overflow;
  }
  if (mBuffer.size() + room > mBuffer.capacity()) {
    const size_t grown = std::max(2 * mBuffer.size(), mBuffer.size() + room);
    if (!mHeld.GrowTo(std::min(grown, mBuffer.max_size()))) {
      co_return asio::error::no_memory;
    }
  }
  const auto target = mBuffer.prepare(room);
  mHeld.SetTo(mBuffer.capacity());
  auto [error, count] =
    co_await aStream.async_read_some(target, asio::as_tuple(asio::use_awaitable));
  mBuffer.commit(count);
  co_return error;
}

void ReadBuffer::Enlarge()
{
  if (mBuffer.capacity() < kBodyReadBytes && mHeld.GrowTo(kBodyReadBytes)) {
    mBuffer.reserve(kBodyReadBytes);
    mHeld.SetTo(mBuffer.capacity());
  }
}

void ReadBuffer::Trim()
{
  if (mBuffer.size() == 0 && mBuffer.capacity() > kReadBufferBytes) {
    mBuffer.shrink_to_fit();
    mHeld.SetTo(mBuffer.capacity());
  }
}

bool ReserveBody(std::string& aBody, size_t aMoreBytes, HeldBytes& aHeld)
{
  const size_t needed = aBody.size() + aMoreBytes;
  if (needed <= aBody.capacity()) {
    return true;
  }
  // std::string would at least double its capacity.
  const size_t capacity = std::max(needed, aBody.size() + aBody.size() / 4);
  if (!aHeld.GrowTo(capacity)) {
    return false;
  }
  std::string grown;
  grown.reserve(capacity);
  grown.append(aBody);
  aBody = std::move(grown);
  return true;
}

} // namespace balsammount::detail
