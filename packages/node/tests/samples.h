// Names and announcements that several tests use.
#pragma once

#include "balsammount/header_names.h"
#include "balsammount/server_lifecycle.h"

namespace balsammount {

// For backend servers that repeat the request id and state whether they ran a request.
inline HeaderNames NamesWithRequestId()
{
  HeaderNames names;
  names.mRequestId = "Id";
  names.mExpectedServer = "Expected-Server";
  names.mNotExecuted = "Not-Run";
  names.mServerStamp = "Stamp";
  names.mKeepRequestId = true;
  return names;
}

// A backend server of the service "orders" that has announced itself.
inline ServerLifecycle AnnouncedServer()
{
  ServerLifecycle lifecycle("orders", "127.0.0.1:80");
  ServerAnnouncement announcement;
  announcement.mServerId = "server-1";
  announcement.mService = "orders";
  announcement.mAddress = "127.0.0.1:80";
  announcement.mSlots = 4;
  lifecycle.OnAnnouncement(announcement);
  return lifecycle;
}

} // namespace balsammount
