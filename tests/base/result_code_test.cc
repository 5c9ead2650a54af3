#include "gcw/base/result_code.h"

#include <fmt/format.h>
#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>
#include <string>

namespace gcw {
namespace {

TEST_CASE("docs/ERRORS.md lists exactly the codes of ResultCodes()") {
  std::ifstream file(GCW_SOURCE_DIR "/docs/ERRORS.md");
  std::stringstream text;
  text << file.rdbuf();
  std::string rows;
  for (const ResultCodeInfo& info : ResultCodes()) {
    rows += fmt::format("| {} | {} | {} |\n", static_cast<unsigned>(info.code),
                        info.name, info.text);
  }
  const std::string page = text.str();
  const std::string separator = "|---|---|---|\n";
  const std::size_t table = page.find(separator);
  REQUIRE(table != std::string::npos);
  CHECK(page.substr(table + separator.size()) == rows);
}

TEST_CASE("result codes are found by number and are in ascending order") {
  std::uint16_t last = 0;
  for (const ResultCodeInfo& info : ResultCodes()) {
    const auto number = static_cast<std::uint16_t>(info.code);
    CHECK(ResultCodeFromNumber(number) == info.code);
    CHECK((number == 0 || number > last));
    last = number;
  }
  CHECK_FALSE(ResultCodeFromNumber(999).has_value());
}

TEST_CASE("only kRefused codes guarantee that a request did not run") {
  CHECK(IsNotRun(ResultCode::kRefusedDeadline));
  CHECK_FALSE(IsNotRun(ResultCode::kOutcomeUnknown));
  CHECK_FALSE(IsNotRun(ResultCode::kAnswerCut));
}

}  // namespace
}  // namespace gcw
