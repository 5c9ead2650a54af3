#ifndef GCW_SRC_CLI_RENDER_H_
#define GCW_SRC_CLI_RENDER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "gcw/config/codec.h"

namespace gcw::cli {

using TableRow = std::vector<std::string>;

// Lays out rows under a header, columns aligned by spaces. Thread-safe.
std::string RenderTable(const TableRow& header,
                        const std::vector<TableRow>& rows);

// A table of resources of one kind as the API shows them. Fields that are
// absent stay empty. Thread-safe.
std::string RenderResources(config::ResourceKind kind,
                            const nlohmann::json& items);

// The status for people: zones, daemons and backend servers, what cannot be
// reached and what is wrong with stored objects. Thread-safe.
std::string RenderStatus(const nlohmann::json& status);

}  // namespace gcw::cli

#endif  // GCW_SRC_CLI_RENDER_H_
