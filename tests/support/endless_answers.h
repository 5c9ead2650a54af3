#ifndef GCW_TESTS_SUPPORT_ENDLESS_ANSWERS_H_
#define GCW_TESTS_SUPPORT_ENDLESS_ANSWERS_H_

#include <zlib.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "tests/support/raw_server.h"

namespace gcw::test {

// An HTTP answer that has no end or is far too large.
struct EndlessAnswer {
  const char* what;
  RawServer::Handler handler;
};

// Serves one request with `begin`, then `repeated` until the peer closes.
inline RawServer::Handler Endless(std::string begin, std::string repeated) {
  return [begin = std::move(begin),
          repeated = std::move(repeated)](RawServer::Connection& connection) {
    if (connection.ReadHead().empty() || !connection.Write(begin)) {
      return;
    }
    while (connection.Write(repeated)) {
    }
  };
}

// Serves one request with `begin`, then with `byte` each 50 ms.
inline RawServer::Handler Trickling(std::string begin, char byte) {
  return [begin = std::move(begin), byte](RawServer::Connection& connection) {
    if (connection.ReadHead().empty() || !connection.Write(begin)) {
      return;
    }
    while (connection.Write({&byte, 1})) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  };
}

// Serves each request with `begin`, then with nothing.
inline RawServer::Handler Stopping(std::string begin) {
  return [begin = std::move(begin)](RawServer::Connection& connection) {
    if (connection.ReadHead().empty() || !connection.Write(begin)) {
      return;
    }
    connection.ReadHead();
  };
}

// A gzip text of about 2 MB that expands to 2 GiB of spaces.
inline std::string SmallTextThatExpands() {
  constexpr int kGzip = 15 + 16;
  constexpr std::size_t kBlock = 1 << 20;
  z_stream stream{};
  deflateInit2(&stream, Z_BEST_COMPRESSION, Z_DEFLATED, kGzip, 8,
               Z_DEFAULT_STRATEGY);
  std::string plain(kBlock, ' ');
  std::vector<std::string> blocks;
  for (int i = 0; i < 2; ++i) {
    std::string block(kBlock, '\0');
    stream.next_in = reinterpret_cast<Bytef*>(plain.data());
    stream.avail_in = kBlock;
    stream.next_out = reinterpret_cast<Bytef*>(block.data());
    stream.avail_out = kBlock;
    // Each block can be expanded by itself, so it can be repeated.
    deflate(&stream, Z_FULL_FLUSH);
    block.resize(kBlock - stream.avail_out);
    blocks.push_back(std::move(block));
  }
  deflateEnd(&stream);
  std::string text = blocks[0];
  for (int i = 0; i < 2048; ++i) {
    text += blocks[1];
  }
  return text;
}

// Answers that have no end, or that are larger than any that a store gives.
inline std::vector<EndlessAnswer> EndlessAnswers() {
  const std::string ok =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(16384, 'x');
  const std::string compressed = SmallTextThatExpands();
  std::string tiny_chunks;
  for (int i = 0; i < 1000; ++i) {
    tiny_chunks += "1\r\n \r\n";
  }
  return {
      {"a body of huge length",
       Endless(ok + "Content-Length: 1099511627776\r\n\r\n", block)},
      {"a body in chunks", Endless(chunked, "4000\r\n" + block + "\r\n")},
      {"a body in chunks of one byte", Endless(chunked, tiny_chunks)},
      {"a body until the connection ends",
       Endless(ok + "Connection: close\r\n\r\n", block)},
      {"a body of spaces",
       Endless(ok + "Connection: close\r\n\r\n", std::string(16384, ' '))},
      {"a header line", Endless(ok + "X-Long: ", block)},
      {"header lines",
       Endless(ok, "X-More: " + std::string(100, 'x') + "\r\n")},
      {"a status line", Endless("HTTP/1.1 200 ", block)},
      {"a chunk line", Endless(chunked + "4000;", block)},
      {"a chunk size", Endless(chunked, std::string(16384, '0'))},
      {"trailer lines",
       Endless(chunked + "0\r\n", "X-More: " + std::string(100, 'x') + "\r\n")},
      {"interim answers 100", Endless("", "HTTP/1.1 100 Continue\r\n\r\n")},
      {"interim answers 102", Endless("", "HTTP/1.1 102 Processing\r\n\r\n")},
      {"a compressed body",
       Stopping(ok + "Content-Encoding: gzip\r\nContent-Length: " +
                std::to_string(compressed.size()) + "\r\n\r\n" + compressed)},
      {"the body of an error", Endless("HTTP/1.1 503 Service Unavailable\r\n"
                                       "Content-Length: 1099511627776\r\n\r\n",
                                       block)},
  };
}

// Returns `text` repeated, 16 KB in all.
inline std::string Block(std::string_view text) {
  std::string block;
  while (block.size() < 16'384) {
    block += text;
  }
  return block;
}

inline constexpr std::string_view kListBegin =
    "HTTP/1.1 200 OK\r\n\r\n"
    R"({"store_revision":7,"items":[)";
inline constexpr std::string_view kListEntry =
    R"({"meta":{"name":"i-1","revision":1},"spec":{"zone":"z"}})";

// Answers in the users' format, of which each part is one that a store may
// give, but that have no end.
inline std::vector<EndlessAnswer> EndlessLists() {
  const std::string begin(kListBegin);
  const std::string entry(kListEntry);
  return {
      {"an entry", Endless(begin + R"({"meta":{"name":"i-1","revision":1},)"
                                   R"("spec":{"zone":")",
                           std::string(16384, 'x'))},
      {"entries that have no end",
       Endless(begin, Block(R"({"meta":{"name":")"))},
      {"spaces between entries",
       Endless(begin + entry + ",", std::string(16384, ' '))},
      {"entries with no name", Endless(begin + "{}", Block(R"(,{"spec":{}})"))},
  };
}

// As EndlessLists(), with entries that a daemon keeps.
inline std::vector<EndlessAnswer> ListsOfEntriesWithoutEnd() {
  const std::string entry(kListEntry);
  return {{"entries",
           Endless(std::string(kListBegin) + entry, Block("," + entry))}};
}

// Answers that come slowly and have no end, or that stop in the middle.
inline std::vector<EndlessAnswer> SlowAnswers() {
  const std::string ok =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  const std::string sized = ok + "Content-Length: 1048576\r\n\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"a byte of the body each 50 ms", Trickling(sized, ' ')},
      {"a byte of a header line each 50 ms", Trickling(ok + "X-Long: ", 'x')},
      {"a byte of a chunk line each 50 ms", Trickling(chunked + "1;", 'x')},
      {"half a body", Stopping(sized + std::string(1000, ' '))},
      {"half a header", Stopping(ok)},
      {"half a chunk", Stopping(chunked + "4000\r\n   ")},
  };
}

}  // namespace gcw::test

#endif  // GCW_TESTS_SUPPORT_ENDLESS_ANSWERS_H_
