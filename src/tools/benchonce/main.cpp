#include "benches.h"

#include <gflags/gflags.h>

DEFINE_int32(schedules, 1000, "seeded schedules per row of fault rates");

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  ebony::benchonce::benchClaims();
  ebony::benchonce::benchMemory();
  ebony::benchonce::benchUnknown(FLAGS_schedules);
  return 0;
}
