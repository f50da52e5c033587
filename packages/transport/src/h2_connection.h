// HTTP/2 over one TCP connection: moves bytes between nghttp2 and the socket.
#pragma once

#include "balsammount/exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <chrono>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace balsammount::detail {

// Per-stream and per-connection flow control windows: larger than any single message.
constexpr int32_t kStreamWindowBytes = 2 * 1024 * 1024;
constexpr int32_t kConnectionWindowBytes = 64 * 1024 * 1024;

// Read from the socket at once. A node has two connections to every other, so this is memory for
// each node of the fleet, twice.
constexpr size_t kReadBufferBytes = 16 * 1024;

// A body that nghttp2 reads in pieces.
struct OutgoingBody
{
  std::string mBytes;
  size_t mOffset = 0;
};

nghttp2_data_provider MakeDataProvider(OutgoingBody& aBody);

// Header list for nghttp2; it copies the bytes, so the source has to live only until submission.
class HeaderBlock
{
public:
  void Add(std::string_view aName, std::string_view aValue);
  // Adds lower-case copies, leaving out what belongs to one connection.
  void AddAll(const Headers& aHeaders);
  std::span<const nghttp2_nv> Values();

private:
  struct Field
  {
    std::string mName;
    std::string mValue;
  };
  std::vector<Field> mFields;
  std::vector<nghttp2_nv> mValues;
};

class H2Connection : public std::enable_shared_from_this<H2Connection>
{
public:
  explicit H2Connection(boost::asio::ip::tcp::socket aSocket);
  virtual ~H2Connection();
  H2Connection(const H2Connection&) = delete;
  H2Connection& operator=(const H2Connection&) = delete;

  // Closes the socket and calls OnClosed once.
  void Close();
  bool IsClosed() const { return mClosed; }

protected:
  // Called by the constructor of the derived class through Open.
  virtual void OnFrame(const nghttp2_frame& aFrame) = 0;
  virtual void OnHeader(int32_t aStreamId, std::string_view aName, std::string_view aValue) = 0;
  virtual void OnData(int32_t aStreamId, std::string_view aBytes) = 0;
  virtual void OnStreamClosed(int32_t aStreamId, uint32_t aError) = 0;
  virtual void OnClosed() = 0;

  // Creates the session and submits the settings; reading starts with Read().
  void Open(bool aIsServer, uint32_t aMaxStreams, size_t aMaxHeaderBytes);
  void Read();
  // Sends what nghttp2 has ready.
  void Flush();

  nghttp2_session* Session() const { return mSession.get(); }
  boost::asio::ip::tcp::socket& Socket() { return mSocket; }
  std::chrono::steady_clock::time_point LastReceived() const { return mLastReceived; }

private:
  struct SessionDeleter
  {
    void operator()(nghttp2_session* aSession) const { nghttp2_session_del(aSession); }
  };
  struct Callbacks;

  void HandleBytes(size_t aCount);

  boost::asio::ip::tcp::socket mSocket;
  std::unique_ptr<nghttp2_session, SessionDeleter> mSession;
  std::array<uint8_t, kReadBufferBytes> mReadBuffer{};
  std::string mWriteBuffer;
  std::chrono::steady_clock::time_point mLastReceived = std::chrono::steady_clock::now();
  bool mWriting = false;
  bool mClosed = false;
};

} // namespace balsammount::detail
