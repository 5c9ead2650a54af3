#include "gcw/platform/listing_decoder.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "gcw/platform/decode_json.h"
#include "gcw/platform/json_listing_reader.h"

namespace gcw::platform {
namespace {

std::size_t BytesOf(const Object& object) {
  return object.key.size() + object.value.size();
}

std::size_t BytesOf(const WatchEvent& event) {
  return BytesOf(event.object);
}

// Collects the entries of a listing, decoded.
template <typename Entry>
class EntryCollector : public JsonListingReader::Listener {
 public:
  using Read = std::function<Result<Entry>(std::string_view text)>;

  EntryCollector(Read read, std::size_t max_bytes)
      : read_(std::move(read)), max_bytes_(max_bytes) {}

  void OnEntry(std::string_view text) override {
    if (!too_many()) {
      Add(read_(text));
    }
  }

  void OnLongEntry(std::string_view beginning) override {
    if (too_many()) {
      return;
    }
    Result<Entry> entry = read_(beginning);
    if (!entry.ok()) {
      entry = UndecodableText(fmt::format("an entry longer than {} bytes",
                                          JsonListingReader::kMaxEntryBytes));
    }
    Add(std::move(entry));
  }

  bool too_many() const {
    return bytes_ > max_bytes_ || entries_.size() > kMaxEntries ||
           skipped_.count > kMaxSkippedEntries;
  }
  std::vector<Entry>& entries() { return entries_; }
  SkippedEntries& skipped() { return skipped_; }

 private:
  void Add(Result<Entry> entry) {
    if (!entry.ok()) {
      skipped_.Add(entry.error());
      return;
    }
    bytes_ += sizeof(Entry) + BytesOf(entry.value());
    entries_.push_back(std::move(entry).value());
  }

  Read read_;
  const std::size_t max_bytes_;
  std::vector<Entry> entries_;
  SkippedEntries skipped_;
  std::size_t bytes_ = 0;
};

// Decodes an answer into its entries and the other members.
template <typename Entry>
class AnswerReader {
 public:
  AnswerReader(const ListingNames& names,
               typename EntryCollector<Entry>::Read read,
               std::size_t max_bytes,
               ResultCode too_many)
      : names_(names),
        too_many_(too_many),
        collector_(std::move(read), max_bytes),
        reader_(names.array, collector_) {}

  Status OnBytes(std::string_view bytes) {
    const Status status = reader_.OnBytes(bytes);
    return status.ok() && collector_.too_many() ? TooMany() : status;
  }

  // Returns the revision of the store.
  Result<Version> Finish() {
    auto members = reader_.Finish();
    if (!members.ok()) {
      return members.error();
    }
    if (collector_.too_many()) {
      return TooMany().error();
    }
    members_ = std::move(members).value();
    return DecodeJson<Version>(FindJsonMember(members_, names_.revision),
                               ReadUnsigned);
  }

  // Precondition: Finish() has succeeded.
  bool more_pages() const {
    return !names_.more_pages.empty() &&
           FindJsonMember(members_, names_.more_pages) == "true";
  }
  std::vector<Entry>& entries() { return collector_.entries(); }
  SkippedEntries& skipped() { return collector_.skipped(); }

 private:
  Status TooMany() const {
    return Error{too_many_, "", "too many or too large entries"};
  }

  const ListingNames names_;
  const ResultCode too_many_;
  EntryCollector<Entry> collector_;
  JsonListingReader reader_;
  std::vector<JsonMember> members_;
};

class ListingListDecoder : public ListDecoder {
 public:
  ListingListDecoder(const ListingNames& names, ReadObjectText read_object)
      : reader_(names,
                std::move(read_object),
                kMaxPageBytes,
                ResultCode::kPlatformBadAnswer) {}

  Status OnBytes(std::string_view bytes) override {
    return reader_.OnBytes(bytes);
  }

  Result<ListPage> Finish() override {
    const Result<Version> revision = reader_.Finish();
    if (!revision.ok()) {
      return revision.error();
    }
    ListPage page;
    page.listing.revision = revision.value();
    page.listing.objects = std::move(reader_.entries());
    page.listing.skipped = std::move(reader_.skipped());
    if (reader_.more_pages()) {
      if (page.listing.objects.empty()) {
        return UndecodableText("a page without a name to continue");
      }
      page.continue_after = page.listing.objects.back().key;
    }
    return page;
  }

 private:
  AnswerReader<Object> reader_;
};

class ListingWatchDecoder : public WatchDecoder {
 public:
  ListingWatchDecoder(const ListingNames& names, ReadEventText read_event)
      : reader_(names,
                std::move(read_event),
                kMaxEventsBytes,
                ResultCode::kPlatformCompacted) {}

  Status OnBytes(std::string_view bytes) override {
    return reader_.OnBytes(bytes);
  }

  Result<WatchAnswer> Finish() override {
    const Result<Version> revision = reader_.Finish();
    if (!revision.ok()) {
      return revision.error();
    }
    WatchAnswer answer;
    answer.revision = revision.value();
    answer.events = std::move(reader_.entries());
    answer.skipped = std::move(reader_.skipped());
    return answer;
  }

 private:
  AnswerReader<WatchEvent> reader_;
};

}  // namespace

std::unique_ptr<ListDecoder> MakeListDecoder(const ListingNames& names,
                                             ReadObjectText read_object) {
  return std::make_unique<ListingListDecoder>(names, std::move(read_object));
}

std::unique_ptr<WatchDecoder> MakeWatchDecoder(const ListingNames& names,
                                               ReadEventText read_event) {
  return std::make_unique<ListingWatchDecoder>(names, std::move(read_event));
}

}  // namespace gcw::platform
