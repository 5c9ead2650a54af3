#ifndef GCW_SRC_CLI_RENDER_H_
#define GCW_SRC_CLI_RENDER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gcw/config/codec.h"

namespace gcw::cli {

using TableRow = std::vector<std::string>;

// Formats rows under a header as text, with columns aligned by spaces.
// Thread-safe.
std::string RenderTable(const TableRow& header,
                        const std::vector<TableRow>& rows);

// Formats resources of one kind, in the API's JSON form, as a table. The cells
// of absent fields are empty. Thread-safe.
std::string RenderResources(config::ResourceKind kind,
                            const nlohmann::json& items);

// Formats the status as text: zones and whether they are reachable, daemons,
// backend servers, and errors in stored objects. Thread-safe.
std::string RenderStatus(const nlohmann::json& status);

}  // namespace gcw::cli

#endif  // GCW_SRC_CLI_RENDER_H_
