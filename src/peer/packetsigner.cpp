#include "peer/packetsigner.h"

#include "core/bigendian.h"

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
    message.resize(message.size() + signatureBytes);
    writeBigEndian(message.data() + message.size() - signatureBytes, signatureBytes, signature);
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
    if (!this->ring.verify(data, signedBytes, readBigEndian(data + signedBytes, signatureBytes))) {
        return std::nullopt;
    }
    return Bytes(data, data + signedBytes - 1);
}

} // namespace hornbeam
