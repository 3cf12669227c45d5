#include "standin/stopsignal.h"

#include <csignal>

namespace ebony::standin {

namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

StopSignal::StopSignal() {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

int StopSignal::wait() const {
  const sigset_t Signals = stopSignals();
  int Signal = 0;
  while (sigwait(&Signals, &Signal) != 0)
    ;
  return Signal;
}

} // namespace ebony::standin
