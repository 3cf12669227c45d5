#include "json/jsontext.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>

#include <fstream>
#include <sstream>

namespace ebony::json {

namespace {

constexpr std::size_t MaxDepth = 32;

} // namespace

base::Checked<Poco::Dynamic::Var> parseText(const std::string &Source,
                                            const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    Parser.setDepth(MaxDepth);
    return base::Checked<Poco::Dynamic::Var>(
        boost::outcome_v2::in_place_type<Poco::Dynamic::Var>,
        Parser.parse(Text));
  } catch (const Poco::Exception &Error) {
    return boost::outcome_v2::failure(
        base::Findings{{Source, "",
                        "Write valid JSON; the parser stopped with \"" +
                            Error.displayText() + "\"."}});
  }
}

base::Checked<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  if (File.is_open() && File.peek() != std::ifstream::traits_type::eof())
    Text << File.rdbuf();
  if (!File.is_open() || File.bad())
    return base::Findings{
        {Path, "", "Name a file that exists and can be read."}};
  return Text.str();
}

std::string toText(const Poco::Dynamic::Var &Value) {
  std::ostringstream Text;
  Poco::JSON::Stringifier::stringify(Value, Text);
  return Text.str();
}

} // namespace ebony::json
