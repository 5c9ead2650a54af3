#include "src/lab/report.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "src/lab/matrix.h"

namespace gcw::lab {
namespace {

Report MakeReport(std::uint64_t seed, double broken, double share) {
  Report report;
  report.scenario = "scenarios/x.json";
  report.base = "valtellina";
  report.seed = seed;
  report.totals = {{"flows.broken", broken}, {"service.tayside", share}};
  report.checks = EvaluateBounds(
      {{"flows.broken", 0, false}, {"service.tayside", 0.9, true}},
      report.totals);
  return report;
}

TEST_CASE("a report passes only if every bound is kept") {
  CHECK(MakeReport(1, 0, 0.9).passed());
  CHECK_FALSE(MakeReport(1, 1, 0.9).passed());
  CHECK_FALSE(MakeReport(1, 0, 0.89).passed());
}

TEST_CASE("a bound on a total that does not exist is missed") {
  CHECK_FALSE(
      EvaluateBounds({{"flows.brokn", 0}}, {{"flows.broken", 0}})[0].ok);
}

TEST_CASE("totals are nested by the dots of their names") {
  const auto json = ToJson(MakeReport(3, 2, 0.95));
  CHECK(json["totals"]["flows"]["broken"] == 2);
  CHECK(json["totals"]["service"]["tayside"] == 0.95);
  CHECK(json["passed"] == false);
  CHECK(json["seed"] == 3);
}

TEST_CASE("the matrix keeps the worst figure of all seeds and its seed") {
  std::vector<MatrixCell> cells;
  CHECK(AddReport(ToJson(MakeReport(1, 0, 0.95)).dump(), &cells).ok());
  CHECK(AddReport(ToJson(MakeReport(2, 4, 0.99)).dump(), &cells).ok());
  CHECK(AddReport(ToJson(MakeReport(3, 1, 0.80)).dump(), &cells).ok());
  REQUIRE(cells.size() == 2);
  CHECK(cells[0].worst == 4);
  CHECK(cells[0].worst_seed == 2);
  CHECK_FALSE(cells[0].ok);
  CHECK(cells[1].worst == Approx(0.80));
  CHECK(cells[1].worst_seed == 3);
  const std::string table = ToTable(cells);
  CHECK(table.find("| x (valtellina) | 4 RED | 0.8 RED |") !=
        std::string::npos);
  CHECK_FALSE(AddReport("", &cells).ok());
}

TEST_CASE("seeds are a range or one number") {
  CHECK(ParseSeeds("3-5").value().last == 5);
  CHECK(ParseSeeds("7").value().first == 7);
  for (const char* wrong : {"", "a", "5-3", "1-", "-1", "1-99999"}) {
    INFO(wrong);
    CHECK_FALSE(ParseSeeds(wrong).ok());
  }
}

}  // namespace
}  // namespace gcw::lab
