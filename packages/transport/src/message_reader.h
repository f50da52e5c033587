// Reading of HTTP/1 messages, with all bytes on their way charged to a budget.
#pragma once

#include "balsammount/resource_budget.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>

#include <string>
#include <string_view>

namespace balsammount::detail {

// Bytes that are read ahead of the parser, in addition to a head of the longest size. Bounds the
// line before a chunk, which has no limit in Beast.
constexpr size_t kMaxReadAheadBytes = 64 * 1024;

// Bytes that were received on a connection and are not parsed yet.
class ReadBuffer
{
public:
  ReadBuffer(size_t aMaxHeaderBytes, std::shared_ptr<ResourceHolder> aHolder);

  // Reads at least one byte. Fails with buffer_overflow if the buffer is full, and with no_memory
  // if the budget does not allow it to grow.
  boost::asio::awaitable<boost::beast::error_code> ReadSome(boost::beast::tcp_stream& aStream);

  // Makes the next reads larger, for a long body.
  void Enlarge();
  // Returns the memory of an empty buffer that a long message has made grow.
  void Trim();

  size_t Size() const { return mBuffer.size(); }
  bool IsFull() const { return mBuffer.size() == mBuffer.capacity(); }
  boost::asio::const_buffer Data() const { return mBuffer.cdata(); }
  std::string_view View() const
  {
    return { static_cast<const char*>(mBuffer.cdata().data()), mBuffer.size() };
  }
  void Consume(size_t aBytes) { mBuffer.consume(aBytes); }
  boost::beast::flat_buffer& Buffer() { return mBuffer; }

private:
  boost::beast::flat_buffer mBuffer;
  HeldBytes mHeld;
};

// Makes room for more bytes of a body whose length is not known. Returns false if the budget does
// not allow it.
bool ReserveBody(std::string& aBody, size_t aMoreBytes, HeldBytes& aHeld);

// Reads the body of a message whose head has been parsed. aReadSome reads into aBuffer and returns
// an awaitable error code. Fails with no_memory if the budget does not allow the body.
template <class Parser, class ReadSome>
boost::asio::awaitable<boost::beast::error_code> ReadBody(Parser& aParser, ReadBuffer& aBuffer,
                                                          HeldBytes& aHeld, ReadSome aReadSome)
{
  namespace http = boost::beast::http;
  const uint64_t length = aParser.content_length().value_or(0);
  if (!aHeld.GrowTo(length)) {
    co_return boost::asio::error::no_memory;
  }
  bool needsMore = false;
  bool isLong = false;
  while (!aParser.is_done()) {
    boost::beast::error_code error;
    if (needsMore || aBuffer.Size() == 0) {
      error = co_await aReadSome();
      if (error == boost::asio::error::eof) {
        error = {};
        aParser.put_eof(error);
        needsMore = false;
        if (!error && !aParser.is_done()) {
          error = http::error::partial_message;
        }
      }
      if (error) {
        co_return error;
      }
      if (aParser.is_done()) {
        break;
      }
      isLong = isLong || aBuffer.IsFull();
    }
    if (!ReserveBody(aParser.get().body(), aBuffer.Size(), aHeld)) {
      co_return boost::asio::error::no_memory;
    }
    aBuffer.Consume(aParser.put(aBuffer.Data(), error));
    needsMore = error == http::error::need_more;
    if (error && !needsMore) {
      co_return error;
    }
    if (isLong) {
      aBuffer.Enlarge();
    }
  }
  co_return boost::beast::error_code{};
}

} // namespace balsammount::detail
