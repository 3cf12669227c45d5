#include "httpkit/terminationsignal.h"

#include <csignal>

namespace ebony::httpkit {

namespace {

sigset_t terminationSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

void blockTerminationSignals() {
  const sigset_t Signals = terminationSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int waitForTerminationSignal() {
  const sigset_t Signals = terminationSignals();
  int Received = 0;
  sigwait(&Signals, &Received);
  return Received;
}

} // namespace ebony::httpkit
