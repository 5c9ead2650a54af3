#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "src/direct_balancer/event_writer.h"

namespace gcw::direct_balancer {
namespace {

// The log lines of default-constructed events of all types in `Variant`.
template <typename Variant, std::size_t... I>
std::vector<LogLine> LinesOf(std::index_sequence<I...>) {
  return {ToLine(Variant(std::variant_alternative_t<I, Variant>{}))...};
}

// The row that the table in docs/LOGS.md must have for the event of `line`.
std::string RowOf(const LogLine& line) {
  std::string row =
      fmt::format("| `{}` | {} | ", line.heading.event, line.heading.part);
  bool first = true;
  for (const auto& [field, value] : line.fields.items()) {
    row += fmt::format("{}`{}`", first ? "" : ", ", field);
    first = false;
  }
  return row + " |";
}

std::string ReadDocument(const std::string& name) {
  std::ifstream file(std::string(GCW_SOURCE_DIR) + "/docs/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("docs/LOGS.md lists every event with its fields") {
  std::vector<LogLine> lines = LinesOf<direct::Event>(
      std::make_index_sequence<std::variant_size_v<direct::Event>>());
  for (LogLine& line : LinesOf<ProcessEvent>(
           std::make_index_sequence<std::variant_size_v<ProcessEvent>>())) {
    lines.push_back(std::move(line));
  }
  const std::string table = ReadDocument("LOGS.md");
  for (const LogLine& line : lines) {
    INFO(RowOf(line));
    CHECK(table.find(RowOf(line)) != std::string::npos);
  }
}

TEST_CASE("docs/LOGS.md lists every reason for a routing decision") {
  const std::string table = ReadDocument("LOGS.md");
  for (std::size_t i = 0; i < direct::kReasonCount; ++i) {
    const auto reason = static_cast<direct::Reason>(i);
    INFO(ReasonName(reason));
    CHECK(table.find(fmt::format("| `{}` |", ReasonName(reason))) !=
          std::string::npos);
  }
}

}  // namespace
}  // namespace gcw::direct_balancer
