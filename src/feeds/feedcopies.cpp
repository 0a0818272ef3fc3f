#include "feeds/feedcopies.h"

namespace hornbeam {

namespace {

constexpr size_t entryOverheadBytes = 64; // approximate size of list node, index node and hash bucket

size_t bytesOf(const FeedCopyEntry &entry)
{
    return sizeof(FeedCopyEntry) + sizeof(FeedKey) + entryOverheadBytes + entry.requestTail->size();
}

} // namespace

bool FeedCopies::update(FeedCopyEntry entry)
{
    const bool isNew = this->find(entry.key) == nullptr;
    this->remove(entry.key);
    this->usedBytes += bytesOf(entry);
    this->entries.push_back(std::move(entry));
    const auto added = std::prev(this->entries.end());
    this->index[added->key] = added;
    while (this->usedBytes > this->maxBytes && this->entries.size() > 1) {
        this->removeAt(this->entries.begin());
    }
    return isNew;
}

FeedCopyEntry *FeedCopies::find(const FeedKey &key)
{
    const auto found = this->index.find(key);
    return found == this->index.end() ? nullptr : &*found->second;
}

void FeedCopies::remove(const FeedKey &key)
{
    const auto found = this->index.find(key);
    if (found != this->index.end()) {
        this->removeAt(found->second);
    }
}

FeedCopyEntry *FeedCopies::oldest()
{
    return this->entries.empty() ? nullptr : &this->entries.front();
}

FeedCopyEntry *FeedCopies::nextToCheck()
{
    if (this->entries.empty()) {
        return nullptr;
    }
    if (this->cursor == this->entries.end()) {
        this->cursor = this->entries.begin();
    }
    FeedCopyEntry *entry = &*this->cursor;
    ++this->cursor;
    return entry;
}

void FeedCopies::removeAt(Iterator entry)
{
    if (this->cursor == entry) {
        ++this->cursor;
    }
    this->usedBytes -= bytesOf(*entry);
    this->index.erase(entry->key);
    this->entries.erase(entry);
}

} // namespace hornbeam
