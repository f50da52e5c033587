// HTTP/2 connection: transfers bytes between an nghttp2 session and a TCP socket.
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

// Flow control windows. A message that exceeds the stream window needs window updates on its way.
constexpr int32_t kStreamWindowBytes = 2 * 1024 * 1024;
constexpr int32_t kConnectionWindowBytes = 64 * 1024 * 1024;

// Size of the read buffer. A node has two connections to every other node, so it holds two buffers
// for each node of the fleet.
constexpr size_t kReadBufferBytes = 16 * 1024;

// A message body that nghttp2 reads in several steps.
struct OutgoingBody
{
  Body mBytes;
  size_t mOffset = 0;
  std::shared_ptr<ResourceHolder> mHolder = nullptr; // makes progress when the peer takes bytes
};

// aBody must outlive the stream that it is submitted to.
nghttp2_data_provider MakeDataProvider(OutgoingBody& aBody);

// Header list for nghttp2. It must live until the message is submitted; nghttp2 then has a copy.
class HeaderBlock
{
public:
  void Add(std::string_view aName, std::string_view aValue);
  // Adds the headers with lower-case names, without Host and hop-by-hop headers.
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
  // aHolder is charged for the buffers; null: there is no budget.
  explicit H2Connection(boost::asio::ip::tcp::socket aSocket,
                        std::shared_ptr<ResourceHolder> aHolder = nullptr);
  virtual ~H2Connection();
  H2Connection(const H2Connection&) = delete;
  H2Connection& operator=(const H2Connection&) = delete;

  // Closes the socket and calls OnClosed once.
  void Close();
  bool IsClosed() const { return mClosed; }
  // Null without a budget.
  ResourceHolder* Holder() const { return mHolder.get(); }

protected:
  // Called for events of the session. Sending is not allowed from within these callbacks.
  virtual void OnFrame(const nghttp2_frame& aFrame) = 0;
  virtual void OnHeader(int32_t aStreamId, std::string_view aName, std::string_view aValue) = 0;
  virtual void OnData(int32_t aStreamId, std::string_view aBytes) = 0;
  virtual void OnStreamClosed(int32_t aStreamId, uint32_t aError) = 0;
  // Called once, by Close.
  virtual void OnClosed() = 0;

  // Creates the session and submits its settings. Read() starts reading.
  void Open(bool aIsServer, uint32_t aMaxStreams, size_t aMaxHeaderBytes);
  void Read();
  // Sends the frames that nghttp2 has queued.
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
  std::shared_ptr<ResourceHolder> mHolder;
  HeldBytes mHeldConnection;
  HeldBytes mHeldWrite;
  std::unique_ptr<nghttp2_session, SessionDeleter> mSession;
  std::array<uint8_t, kReadBufferBytes> mReadBuffer{};
  std::string mWriteBuffer;
  std::chrono::steady_clock::time_point mLastReceived = std::chrono::steady_clock::now();
  bool mWriting = false;
  bool mClosed = false;
};

} // namespace balsammount::detail
