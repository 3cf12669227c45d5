#include "daemonkit/daemonmain.h"
#include "steer/steerdaemon.h"

int main(int ArgumentCount, char **Arguments) {
  return ebony::daemonkit::runDaemon<ebony::steer::SteerDaemon>(
      ArgumentCount, Arguments,
      "Answers look-ups: which entry VMs a caller should use, for how long.",
      ebony::steer::readSteerSettings);
}
