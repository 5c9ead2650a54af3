#include "src/cli/render.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gcw::cli {
namespace {

using config::ResourceKind;
using nlohmann::json;

constexpr std::size_t kColumnGap = 2;

// A table column: its title and the JSON pointer to its value in a resource.
struct Column {
  const char* title;
  const char* pointer;
};

std::vector<Column> ColumnsOf(ResourceKind kind) {
  switch (kind) {
    case ResourceKind::kOrganisation:
      return {{"NAME", "/name"}, {"VERSION", "/version"}};
    case ResourceKind::kService:
      return {{"NAME", "/name"},
              {"ORGANISATION", "/spec/organisation"},
              {"KIND", "/spec/kind"},
              {"ADDRESSES", "/spec/addresses"},
              {"SERVERS", "/spec/servers"},
              {"VERSION", "/version"}};
    case ResourceKind::kServer:
      return {{"NAME", "/name"},
              {"ORGANISATION", "/spec/organisation"},
              {"ADDRESS", "/spec/address"},
              {"ZONE", "/spec/zone"},
              {"SLOTS", "/spec/slots"},
              {"STATE", "/spec/state"},
              {"VERSION", "/version"}};
    case ResourceKind::kZone:
      break;
  }
  return {{"NAME", "/name"}, {"STATE", "/spec/state"}, {"VERSION", "/version"}};
}

// The text of a value in a table cell. For an entry of a service's "servers"
// this is the name of the backend server.
std::string ElementText(const json& element) {
  if (element.is_string()) {
    return element.get<std::string>();
  }
  if (element.is_object() && element.contains("server")) {
    return element.at("server").get<std::string>();
  }
  return element.dump();
}

std::string CellText(const json& value) {
  if (value.is_null()) {
    return "";
  }
  if (!value.is_array()) {
    return ElementText(value);
  }
  std::string text;
  for (const json& element : value) {
    text += text.empty() ? "" : ",";
    text += ElementText(element);
  }
  return text;
}

std::string FieldText(const json& object, const char* field) {
  return object.is_object() && object.contains(field)
             ? CellText(object.at(field))
             : "";
}

std::string RenderRow(const TableRow& row,
                      const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < row.size(); ++i) {
    const bool is_last = i + 1 == row.size();
    line += is_last ? row[i]
                    : fmt::format("{:<{}}", row[i], widths[i] + kColumnGap);
  }
  return line + "\n";
}

// A table of the elements that the array `list` has in all zones of a status.
std::string RenderPerZone(const json& zones,
                          const char* list,
                          const std::vector<std::string>& fields) {
  TableRow header = {"ZONE"};
  for (const std::string& field : fields) {
    std::string title = field;
    std::transform(title.begin(), title.end(), title.begin(), ::toupper);
    header.push_back(std::move(title));
  }
  std::vector<TableRow> rows;
  for (const json& zone : zones) {
    for (const json& element : zone.value(list, json::array())) {
      TableRow row = {FieldText(zone, "zone")};
      for (const std::string& field : fields) {
        row.push_back(FieldText(element, field.c_str()));
      }
      rows.push_back(std::move(row));
    }
  }
  return rows.empty() ? "" : fmt::format("\n{}", RenderTable(header, rows));
}

}  // namespace

std::string RenderTable(const TableRow& header,
                        const std::vector<TableRow>& rows) {
  std::vector<std::size_t> widths(header.size());
  for (std::size_t i = 0; i < header.size(); ++i) {
    widths[i] = header[i].size();
    for (const TableRow& row : rows) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text = RenderRow(header, widths);
  for (const TableRow& row : rows) {
    text += RenderRow(row, widths);
  }
  return text;
}

std::string RenderResources(ResourceKind kind, const json& items) {
  const std::vector<Column> columns = ColumnsOf(kind);
  TableRow header;
  for (const Column& column : columns) {
    header.emplace_back(column.title);
  }
  std::vector<TableRow> rows;
  for (const json& item : items) {
    TableRow row;
    for (const Column& column : columns) {
      const json::json_pointer pointer(column.pointer);
      row.push_back(item.contains(pointer) ? CellText(item.at(pointer)) : "");
    }
    rows.push_back(std::move(row));
  }
  return RenderTable(header, rows);
}

std::string RenderStatus(const json& status) {
  const json zones = status.value("zones", json::array());
  std::vector<TableRow> rows;
  for (const json& zone : zones) {
    const bool is_reachable = zone.value("reachable", false);
    rows.push_back({FieldText(zone, "zone"), FieldText(zone, "state"),
                    is_reachable ? "yes" : "NO", FieldText(zone, "age_ms"),
                    fmt::to_string(zone.value("daemons", json()).size())});
  }
  std::string text = fmt::format(
      "revision {}, in force everywhere: {}\n\n", FieldText(status, "revision"),
      status.value("in_force_everywhere", json()).is_null()
          ? "unknown"
          : FieldText(status, "in_force_everywhere"));
  text +=
      RenderTable({"ZONE", "STATE", "REACHABLE", "AGE_MS", "DAEMONS"}, rows);
  text += RenderPerZone(zones, "daemons", {"name", "revision", "since"});
  text += RenderPerZone(zones, "servers",
                        {"name", "state", "flows", "cold", "since"});
  for (const json& problem : status.value("problems", json::array())) {
    text +=
        fmt::format("\nproblem: {}: {}: {}\n", FieldText(problem, "key"),
                    FieldText(problem, "field"), FieldText(problem, "message"));
  }
  return text;
}

}  // namespace gcw::cli
