#include "daemonkit/daemonmain.h"
#include "entry/entrydaemon.h"

int main(int ArgumentCount, char **Arguments) {
  return ebony::daemonkit::runDaemon<ebony::entry::EntryDaemon>(
      ArgumentCount, Arguments,
      "Accepts callers' requests on one entry VM and has them served.",
      ebony::entry::readEntrySettings);
}
