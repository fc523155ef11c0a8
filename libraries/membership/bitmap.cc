#include "membership/bitmap.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <functional>
#include <numeric>

namespace parsleyquay {

namespace {

constexpr std::size_t kBitsPerByte = 8;
constexpr int kHexBase = 16;

}  // namespace

Bitmap MakeBitmap(std::size_t bit_count) {
  const std::size_t byte_count = (bit_count + kBitsPerByte - 1) / kBitsPerByte;
  return {std::vector<std::uint8_t>(byte_count, 0)};
}

Bitmap WithBit(Bitmap bitmap, std::size_t bit) {
  if (bit / kBitsPerByte < bitmap.bytes.size()) {
    bitmap.bytes[bit / kBitsPerByte] |= 1U << (bit % kBitsPerByte);
  }
  return bitmap;
}

bool HasBit(const Bitmap& bitmap, std::size_t bit) {
  return bit / kBitsPerByte < bitmap.bytes.size() &&
         (bitmap.bytes[bit / kBitsPerByte] >> (bit % kBitsPerByte)) & 1U;
}

std::size_t CountBits(const Bitmap& bitmap) {
  return std::accumulate(
      bitmap.bytes.begin(), bitmap.bytes.end(), std::size_t{0},
      [](std::size_t sum, std::uint8_t byte) {
        return sum + static_cast<std::size_t>(std::popcount(byte));
      });
}

Bitmap UnionOf(Bitmap left, const Bitmap& right) {
  const std::size_t size = std::min(left.bytes.size(), right.bytes.size());
  std::transform(left.bytes.begin(), left.bytes.begin() + size,
                 right.bytes.begin(), left.bytes.begin(), std::bit_or<>{});
  return left;
}

std::string ToHex(const Bitmap& bitmap) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bitmap.bytes.size() * 2);
  for (const std::uint8_t byte : bitmap.bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::optional<Bitmap> BitmapFromHex(const std::string& text) {
  if (text.size() % 2 != 0) {
    return std::nullopt;
  }
  Bitmap bitmap = MakeBitmap(text.size() / 2 * kBitsPerByte);
  for (std::size_t i = 0; i < bitmap.bytes.size(); ++i) {
    const char* const start = text.data() + 2 * i;
    const auto parsed =
        std::from_chars(start, start + 2, bitmap.bytes[i], kHexBase);
    if (parsed.ec != std::errc() || parsed.ptr != start + 2) {
      return std::nullopt;
    }
  }
  return bitmap;
}

}  // namespace parsleyquay
