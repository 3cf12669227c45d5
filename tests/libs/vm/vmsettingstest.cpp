#include "vm/vmsettings.h"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include <cstdio>
#include <fstream>

using namespace ebony;
using namespace ebony::vm;

namespace {

base::Checked<VmSettings> readWith(const std::string &Machine) {
  const std::string Path = "/tmp/vmsettingstest." + std::to_string(getpid());
  std::ofstream(Path)
      << R"({"name": "vm", "zone": "z", "region": "r", "zones": {"z": "r"},)"
         R"("callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",)"
         R"("directory": "127.0.0.1:3", "metrics": "127.0.0.1:4",)"
         R"("store": "127.0.0.1:5", "peerPort": 6)"
      << Machine << "}";
  auto Result = readVmSettings(Path);
  std::remove(Path.c_str());
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(vmsettingstest)

BOOST_AUTO_TEST_CASE(machineLimitsAreReadOrTheSystemsOwn) {
  const auto Stated = readWith(
      R"(, "machine": {"memoryMb": 260, "fileDescriptors": 4100, "more": 1})");
  BOOST_TEST(Stated.value().MemoryBytes_ == 260UL << 20);
  BOOST_TEST(Stated.value().FileDescriptors_ == 4100U);
  const auto Unstated = readWith("");
  BOOST_TEST(Unstated.value().MemoryBytes_ >= 16UL << 20);
  BOOST_TEST(Unstated.value().FileDescriptors_ >= 256U);
}

BOOST_AUTO_TEST_CASE(machineThatHoldsNoRequestIsAFinding) {
  BOOST_TEST(readWith(R"(, "machine": {"memoryMb": 1})").has_error());
  BOOST_TEST(readWith(R"(, "machine": {"fileDescriptors": 8})").has_error());
}

// All parts together leave room for files, the store and other VMs.
BOOST_AUTO_TEST_CASE(partsOfTheDescriptorsLeaveRoomForTheOthers) {
  VmSettings Settings;
  for (const std::size_t Descriptors : {256UL, 1024UL, 4100UL, 8192UL}) {
    Settings.FileDescriptors_ = Descriptors;
    BOOST_TEST(Settings.callerConnections() + Settings.upstreamConnections() +
                   Settings.directoryConnections() <=
               Settings.maxConnections());
    BOOST_TEST(Settings.maxConnections() + VmSettings::OtherDescriptors <
               Descriptors);
  }
}

BOOST_AUTO_TEST_SUITE_END()
