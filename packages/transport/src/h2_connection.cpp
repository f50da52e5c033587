#include "h2_connection.h"

#include "balsammount/unhandled.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace balsammount::detail {

namespace asio = boost::asio;

namespace {

// Size at which no further frames are added to a write to the socket.
constexpr size_t kMaxWriteBufferBytes = 256 * 1024;

// Capacity of a write buffer that is kept between two writes.
constexpr size_t kKeptWriteBufferBytes = 16 * 1024;

// Memory of a connection without its streams: the read buffer and the session of nghttp2.
constexpr size_t kConnectionBytes = kReadBufferBytes + 8 * 1024;

// Size of the HPACK table. Each request adds about 500 bytes of values that do not repeat, which
// evict the ones that do. With the protocol's default of 4 KB, the repeating values are sent in
// full every eight requests.
constexpr uint32_t kHeaderTableBytes = 16 * 1024;

std::string_view View(const uint8_t* aData, size_t aSize)
{
  return { reinterpret_cast<const char*>(aData), aSize };
}

ssize_t ReadBody(nghttp2_session* /*aSession*/, int32_t /*aStreamId*/, uint8_t* aBuffer,
                 size_t aLength, uint32_t* aFlags, nghttp2_data_source* aSource,
                 void* /*aUserData*/)
{
  auto& body = *static_cast<OutgoingBody*>(aSource->ptr);
  const size_t count = std::min(aLength, body.mBytes.size() - body.mOffset);
  std::copy_n(body.mBytes.data() + body.mOffset, count, aBuffer);
  body.mOffset += count;
  if (body.mHolder) {
    body.mHolder->OnProgress(count);
  }
  if (body.mOffset == body.mBytes.size()) {
    *aFlags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

} // namespace

nghttp2_data_provider MakeDataProvider(OutgoingBody& aBody)
{
  nghttp2_data_provider provider{};
  provider.source.ptr = &aBody;
  provider.read_callback = ReadBody;
  return provider;
}

void HeaderBlock::Add(std::string_view aName, std::string_view aValue)
{
  mFields.push_back({ std::string(aName), std::string(aValue) });
}

void HeaderBlock::AddAll(const Headers& aHeaders)
{
  for (const Header& header : aHeaders.All()) {
    if (IsHopByHop(header.mName) || EqualsIgnoringCase(header.mName, "host")) {
      continue;
    }
    std::string name = header.mName;
    std::transform(name.begin(), name.end(), name.begin(), [](char aChar) {
      return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
    });
    mFields.push_back({ std::move(name), header.mValue });
  }
}

std::span<const nghttp2_nv> HeaderBlock::Values()
{
  mValues.clear();
  for (Field& field : mFields) {
    mValues.push_back({ reinterpret_cast<uint8_t*>(field.mName.data()),
                        reinterpret_cast<uint8_t*>(field.mValue.data()), field.mName.size(),
                        field.mValue.size(), NGHTTP2_NV_FLAG_NONE });
  }
  return mValues;
}

struct H2Connection::Callbacks
{
  static H2Connection& Self(void* aUserData) { return *static_cast<H2Connection*>(aUserData); }

  // No exception may pass through nghttp2, which is C code.
  template <class Function>
  static bool Run(Function aFunction)
  {
    return RunGuarded("peer-connection", aFunction);
  }

  static int OnFrame(nghttp2_session* /*aSession*/, const nghttp2_frame* aFrame, void* aUserData)
  {
    Run([&] { Self(aUserData).OnFrame(*aFrame); });
    return 0;
  }

  static int OnHeader(nghttp2_session* /*aSession*/, const nghttp2_frame* aFrame,
                      const uint8_t* aName, size_t aNameLength, const uint8_t* aValue,
                      size_t aValueLength, uint8_t /*aFlags*/, void* aUserData)
  {
    const bool done = Run([&] {
      Self(aUserData).OnHeader(aFrame->hd.stream_id, View(aName, aNameLength),
                               View(aValue, aValueLength));
    });
    // The message would lack a header, so the connection is closed.
    return done ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int OnData(nghttp2_session* /*aSession*/, uint8_t /*aFlags*/, int32_t aStreamId,
                    const uint8_t* aData, size_t aLength, void* aUserData)
  {
    const bool done = Run([&] { Self(aUserData).OnData(aStreamId, View(aData, aLength)); });
    return done ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int OnStreamClosed(nghttp2_session* /*aSession*/, int32_t aStreamId, uint32_t aError,
                            void* aUserData)
  {
    Run([&] { Self(aUserData).OnStreamClosed(aStreamId, aError); });
    return 0;
  }
};

H2Connection::H2Connection(asio::ip::tcp::socket aSocket, std::shared_ptr<ResourceHolder> aHolder)
  : mSocket(std::move(aSocket))
  , mHolder(std::move(aHolder))
  , mHeldConnection(mHolder)
  , mHeldWrite(mHolder)
{
  mHeldConnection.SetTo(kConnectionBytes);
}

H2Connection::~H2Connection() = default;

void H2Connection::Open(bool aIsServer, uint32_t aMaxStreams, size_t aMaxHeaderBytes)
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::OnStreamClosed);
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_max_deflate_dynamic_table_size(options, kHeaderTableBytes);
  nghttp2_session* session = nullptr;
  if (aIsServer) {
    nghttp2_session_server_new2(&session, callbacks, this, options);
  } else {
    nghttp2_session_client_new2(&session, callbacks, this, options);
  }
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(callbacks);
  mSession.reset(session);

  const nghttp2_settings_entry settings[] = {
    { NGHTTP2_SETTINGS_HEADER_TABLE_SIZE, kHeaderTableBytes },
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, aMaxStreams },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes },
    { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<uint32_t>(aMaxHeaderBytes) },
  };
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
  nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

void H2Connection::Read()
{
  mSocket.async_read_some(asio::buffer(mReadBuffer),
                          [self = shared_from_this()](const auto& aError, size_t aCount) {
                            if (aError) {
                              self->Close();
                              return;
                            }
                            self->HandleBytes(aCount);
                          });
}

void H2Connection::HandleBytes(size_t aCount)
{
  if (mClosed) {
    return;
  }
  mLastReceived = std::chrono::steady_clock::now();
  if (nghttp2_session_mem_recv(mSession.get(), mReadBuffer.data(), aCount) < 0) {
    Close();
    return;
  }
  Flush();
  if (!mClosed) {
    Read();
  }
}

void H2Connection::Flush()
{
  if (mClosed || mWriting) {
    return;
  }
  mWriteBuffer.clear();
  while (mWriteBuffer.size() < kMaxWriteBufferBytes) {
    const uint8_t* data = nullptr;
    const ssize_t count = nghttp2_session_mem_send(mSession.get(), &data);
    if (count < 0) {
      Close();
      return;
    }
    if (count == 0) {
      break;
    }
    mWriteBuffer.append(View(data, static_cast<size_t>(count)));
  }
  if (mWriteBuffer.empty()) {
    if (mWriteBuffer.capacity() > kKeptWriteBufferBytes) {
      mWriteBuffer = {};
    }
    mHeldWrite.SetTo(mWriteBuffer.capacity());
    if (!nghttp2_session_want_read(mSession.get()) && !nghttp2_session_want_write(mSession.get())) {
      Close();
    }
    return;
  }
  mHeldWrite.SetTo(mWriteBuffer.capacity());
  mWriting = true;
  asio::async_write(mSocket, asio::buffer(mWriteBuffer),
                    [self = shared_from_this()](const auto& aError, size_t /*aCount*/) {
                      self->mWriting = false;
                      if (aError) {
                        self->Close();
                        return;
                      }
                      self->Flush();
                    });
}

void H2Connection::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  boost::system::error_code ignored;
  mSocket.close(ignored);
  OnClosed();
}

} // namespace balsammount::detail
