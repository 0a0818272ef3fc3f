#include "platformstore.h"

namespace hornbeam::standins {

const StoredObject *PlatformStore::find(const std::string &key) const
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() || found->second.isDeleted ? nullptr : &found->second;
}

bool PlatformStore::isAllowed(const std::string &key, const uint64_t *ifVersion) const
{
    const StoredObject *object = this->find(key);
    return ifVersion == nullptr || *ifVersion == (object == nullptr ? 0 : object->version);
}

WriteOutcome PlatformStore::put(const std::string &key, const std::string &value, const uint64_t *ifVersion)
{
    if (value.size() > maxValueBytes) {
        return WriteOutcome::TooLarge;
    }
    if (!this->isAllowed(key, ifVersion)) {
        return WriteOutcome::Conflict;
    }
    const bool isNew = this->find(key) == nullptr;
    this->objects[key] = { key, ++this->writes, value, false };
    return isNew ? WriteOutcome::Created : WriteOutcome::Replaced;
}

WriteOutcome PlatformStore::remove(const std::string &key, const uint64_t *ifVersion)
{
    if (!this->isAllowed(key, ifVersion)) {
        return WriteOutcome::Conflict;
    }
    if (this->find(key) == nullptr) {
        return WriteOutcome::NotFound;
    }
    this->objects[key] = { key, ++this->writes, "", true };
    return WriteOutcome::Replaced;
}

std::vector<StoredObject> PlatformStore::list(const std::string &prefix, uint64_t after, bool withDeleted) const
{
    std::vector<StoredObject> found;
    for (auto object = this->objects.lower_bound(prefix); object != this->objects.end() && object->first.starts_with(prefix); ++object) {
        if (object->second.version > after && (withDeleted || !object->second.isDeleted)) {
            found.push_back(object->second);
        }
    }
    return found;
}

uint64_t PlatformStore::revision() const
{
    return this->writes;
}

} // namespace hornbeam::standins
