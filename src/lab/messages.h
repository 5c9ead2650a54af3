#ifndef SRC_LAB_MESSAGES_H_
#define SRC_LAB_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "src/lab/udp_port.h"

namespace gcw::lab {

// The messages of docs/WIRE.md as callers and backend servers write and read
// them, apart from the daemons' own code.

struct RequestMessage {
  std::string id;
  std::string organisation;
  std::string service;
  std::int64_t deadline_ms = 0;  // Time left.
  double worth = 1;
  bool idempotent = true;
  Bytes body;
  int expected_bytes = 0;
  int attempt = 0;  // Only between daemon and server.
  std::string run;  // Only between daemon and server.
};

struct CancelMessage {
  std::string id;
  std::string run;
};

struct AnswerMessage {
  std::string id;
  std::string run;
  std::string service;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  Bytes body;
  std::string server;
  std::uint64_t incarnation = 0;
  std::uint64_t checksum = 0;
  std::int64_t service_us = 0;
};

struct RefusalMessage {
  std::string id;
  int code = 0;
  bool not_run = false;
};

struct ShedMessage {
  std::string id;
  std::string run;
  std::string server;
  std::uint64_t incarnation = 0;
};

struct LoadQuery {
  std::uint64_t nonce = 0;
};

struct LoadReport {
  std::uint64_t nonce = 0;
  std::string server;
  int used = 0;
  int slots = 0;
  int connections = 0;
  bool healthy = true;
  std::uint64_t incarnation = 0;
};

using Message = std::variant<RequestMessage,
                             CancelMessage,
                             AnswerMessage,
                             RefusalMessage,
                             ShedMessage,
                             LoadQuery,
                             LoadReport>;

// CBOR bytes of `message`. Thread-safe.
Bytes Encode(const Message& message);

// Nothing if `bytes` is not a whole message with all required fields.
// Thread-safe.
std::optional<Message> Decode(std::span<const std::uint8_t> bytes);

// The answer body that belongs to the request `id`. Thread-safe.
Bytes AnswerBody(const std::string& id, int size);

}  // namespace gcw::lab

#endif  // SRC_LAB_MESSAGES_H_
