#ifndef EBONY_HTTPKIT_GUARDEDSOCKET_H
#define EBONY_HTTPKIT_GUARDEDSOCKET_H

#include "httpkit/connectionguard.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/StreamSocketImpl.h>

namespace ebony::httpkit {

/// Socket of one connection of an HTTP server. Tells the guard while it waits
/// for its client, and limits the size of the head of a request.
class GuardedSocket final : public Poco::Net::StreamSocketImpl,
                            public GuardedSocketHook {
public:
  GuardedSocket(poco_socket_t Handle, ConnectionGuardPtr Guard);

  using StreamSocketImpl::receiveBytes;
  using StreamSocketImpl::sendBytes;
  int receiveBytes(void *Buffer, int Length, int Flags = 0) override;
  int sendBytes(const void *Buffer, int Length, int Flags = 0) override;
  void close() override;

  /// Ends the connection from another thread: reading returns its end, writing
  /// fails.
  void interrupt();

  const base::ConnectionActivity &activity() const { return Activity_; }

  /// How the head of a request ended.
  enum class HeadEnd { Complete, TooLarge, Cut };

  /// Records that the head of a request was parsed.
  HeadEnd endHead();
  /// Records that the request was answered, so that another may follow.
  void endRequest();

  /// Returns whether the client has closed the connection, or it failed.
  bool hasEnded() const { return HasEnded_; }

protected:
  ~GuardedSocket() override;

private:
  friend class ConnectionGuard;

  const ConnectionGuardPtr Guard_;
  /// Guarded by the lock of the guard.
  base::ConnectionActivity Activity_;
  /// Start of the wait for the part of a body that the client sends.
  base::TimePoint BodyProgressAt_{};
  std::size_t BytesSinceProgress_ = 0;
  std::size_t HeadBytes_ = 0;
  bool IsInHead_ = true;
  bool IsHeadTooLarge_ = false;
  bool HasEnded_ = false;
};

/// Returns the socket of \p Request, or null if its server has no guard.
GuardedSocket *guardedSocket(Poco::Net::HTTPServerRequest &Request);

/// Returns whether the connection of \p Request has ended, so that a body
/// without a length may be incomplete.
bool hasConnectionEnded(Poco::Net::HTTPServerRequest &Request);

} // namespace ebony::httpkit

#endif
