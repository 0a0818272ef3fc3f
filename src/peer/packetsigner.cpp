#include "peer/packetsigner.h"

namespace hornbeam {

PacketSigner::PacketSigner(const std::vector<Bytes> &keys) : ring(keys)
{
}

void PacketSigner::updateKeys(const std::vector<Bytes> &keys)
{
    this->ring.update(keys);
}

Bytes PacketSigner::seal(Bytes message) const
{
    message.reserve(message.size() + packetSignatureBytes);
    message.push_back(packetSignatureVersion);
    const uint64_t signature = this->ring.sign(message.data(), message.size());
    for (size_t i = 0; i < signatureBytes; ++i) {
        message.push_back(static_cast<uint8_t>(signature >> (8 * (signatureBytes - 1 - i))));
    }
    return message;
}

std::optional<Bytes> PacketSigner::open(const uint8_t *data, size_t size) const
{
    if (size < packetSignatureBytes) {
        return std::nullopt;
    }
    const size_t signedBytes = size - signatureBytes;
    if (data[signedBytes - 1] != packetSignatureVersion) {
        return std::nullopt;
    }
    uint64_t signature = 0;
    for (size_t i = signedBytes; i < size; ++i) {
        signature = (signature << 8U) | data[i];
    }
    if (!this->ring.verify(data, signedBytes, signature)) {
        return std::nullopt;
    }
    return Bytes(data, data + signedBytes - 1);
}

} // namespace hornbeam
