#include "peer/codec.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace hornbeam {

namespace {

using nlohmann::json;

/** The highest valid value of an enum field. */
template<typename Enum>
constexpr uint64_t maxEnumValue();
template<>
constexpr uint64_t maxEnumValue<MemberState>()
{
    return static_cast<uint64_t>(MemberState::Dead);
}
template<>
constexpr uint64_t maxEnumValue<RotationPhase>()
{
    return static_cast<uint64_t>(RotationPhase::Out);
}
template<>
constexpr uint64_t maxEnumValue<SlotKind>()
{
    return static_cast<uint64_t>(SlotKind::Feed);
}
template<>
constexpr uint64_t maxEnumValue<SlotOutcome>()
{
    return static_cast<uint64_t>(SlotOutcome::Cancelled);
}
template<>
constexpr uint64_t maxEnumValue<Reason>()
{
    return static_cast<uint64_t>(Reason::Count) - 1;
}
template<>
constexpr uint64_t maxEnumValue<Verdict>()
{
    return static_cast<uint64_t>(Verdict::Ran);
}

//--- Encoding

/** Appends each visited field to a JSON array. */
class FieldWriter
{
public:
    template<typename... Fields>
    void operator()(Fields &...fields)
    {
        (this->fields.push_back(this->toJson(fields)), ...);
    }
    json take()
    {
        return std::move(this->fields);
    }

private:
    template<typename Field>
    json toJson(Field &field)
    {
        if constexpr (std::is_same_v<Field, Bytes>) {
            return json::binary(field);
        } else if constexpr (std::is_same_v<Field, Endpoint>) {
            return field.key();
        } else if constexpr (std::is_same_v<Field, bool> || std::is_same_v<Field, std::string>) {
            return field;
        } else if constexpr (std::is_enum_v<Field> || std::is_unsigned_v<Field>) {
            return static_cast<uint64_t>(field);
        } else if constexpr (requires { field.visitFields(*this); }) {
            FieldWriter inner;
            field.visitFields(inner);
            return inner.take();
        } else {
            json list = json::array();
            for (auto &item : field) {
                list.push_back(this->toJson(item));
            }
            return list;
        }
    }

    json fields = json::array();
};

//--- Decoding

/** Reads each visited field from a JSON array. Stops at the first field of the wrong type or range. */
class FieldReader
{
public:
    FieldReader(const json &fields, size_t first) : fields(fields), next(first)
    {
        this->valid = fields.is_array();
    }
    template<typename... Fields>
    void operator()(Fields &...fields)
    {
        (this->readNext(fields), ...);
    }
    bool isValid() const
    {
        return this->valid;
    }

private:
    template<typename Field>
    void readNext(Field &field)
    {
        if (!this->valid || this->next >= this->fields.size()) {
            return; // not sent by an older version; keeps its default
        }
        this->valid = this->fromJson(this->fields[this->next], field);
        ++this->next;
    }
    template<typename Field>
    static bool readNumber(const json &value, uint64_t highest, Field &field)
    {
        if (!value.is_number_unsigned() || value.get<uint64_t>() > highest) {
            return false;
        }
        field = static_cast<Field>(value.get<uint64_t>());
        return true;
    }
    template<typename Field>
    bool fromJson(const json &value, Field &field)
    {
        if constexpr (std::is_same_v<Field, Bytes>) {
            if (!value.is_binary()) {
                return false;
            }
            field = value.get_binary();
            return true;
        } else if constexpr (std::is_same_v<Field, Endpoint>) {
            uint64_t key = 0;
            if (!readNumber(value, (1ULL << 48) - 1, key)) {
                return false;
            }
            field.address = static_cast<uint32_t>(key >> 16);
            field.port = static_cast<uint16_t>(key & 0xFFFFU);
            return true;
        } else if constexpr (std::is_same_v<Field, bool>) {
            field = value.is_boolean() && value.get<bool>();
            return value.is_boolean();
        } else if constexpr (std::is_same_v<Field, std::string>) {
            if (!value.is_string()) {
                return false;
            }
            field = value.get<std::string>();
            return true;
        } else if constexpr (std::is_enum_v<Field>) {
            return readNumber(value, maxEnumValue<Field>(), field);
        } else if constexpr (std::is_unsigned_v<Field>) {
            return readNumber(value, std::numeric_limits<Field>::max(), field);
        } else if constexpr (requires(FieldReader & reader) { field.visitFields(reader); }) {
            FieldReader inner(value, 0);
            if (inner.isValid()) {
                field.visitFields(inner);
            }
            return inner.isValid();
        } else {
            return this->readList(value, field);
        }
    }
    template<typename List>
    bool readList(const json &value, List &list)
    {
        if (!value.is_array()) {
            return false;
        }
        for (const json &item : value) {
            if (!this->fromJson(item, list.emplace_back())) {
                return false;
            }
        }
        return true;
    }

    const json &fields;
    size_t next;
    bool valid = true;
};

template<size_t Index = 0>
std::optional<PeerMessage> decodeAlternative(size_t number, const json &fields)
{
    if constexpr (Index < std::variant_size_v<PeerMessage>) {
        if (number != Index) {
            return decodeAlternative<Index + 1>(number, fields);
        }
        std::variant_alternative_t<Index, PeerMessage> message;
        FieldReader reader(fields, 1);
        message.visitFields(reader);
        if (!reader.isValid()) {
            return std::nullopt;
        }
        return PeerMessage(std::move(message));
    } else {
        return std::nullopt;
    }
}

} // namespace

Bytes encodeMessage(const PeerMessage &message)
{
    FieldWriter writer;
    uint64_t number = message.index();
    writer(number);
    PeerMessage copy = message;
    std::visit([&writer](auto &typed) { typed.visitFields(writer); }, copy);
    return json::to_cbor(writer.take());
}

std::optional<PeerMessage> decodeMessage(const uint8_t *data, size_t size)
{
    json fields;
    try {
        fields = json::from_cbor(data, data + size, true, false);
    } catch (const json::exception &) {
        return std::nullopt; // thrown for a container length beyond the maximum size, even with allow_exceptions = false
    }
    if (!fields.is_array() || fields.empty() || !fields[0].is_number_unsigned()) {
        return std::nullopt;
    }
    return decodeAlternative(fields[0].get<uint64_t>(), fields);
}

} // namespace hornbeam
