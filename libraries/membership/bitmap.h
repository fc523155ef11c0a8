#ifndef PARSLEYQUAY_MEMBERSHIP_BITMAP_H_
#define PARSLEYQUAY_MEMBERSHIP_BITMAP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleyquay {

// A set of small integers. Used for the indexes of members in a view's name
// order.
struct Bitmap {
  std::vector<std::uint8_t> bytes;

  bool operator==(const Bitmap&) const = default;
};

// Creates an empty bitmap with room for `bit_count` bits, rounded up to a byte.
Bitmap MakeBitmap(std::size_t bit_count);

// Sets a bit; ignored if it is out of range.
Bitmap WithBit(Bitmap bitmap, std::size_t bit);

// Returns false if the bit is out of range.
bool HasBit(const Bitmap& bitmap, std::size_t bit);

std::size_t CountBits(const Bitmap& bitmap);

// Returns the union of two bitmaps of the same size.
Bitmap UnionOf(Bitmap left, const Bitmap& right);

std::string ToHex(const Bitmap& bitmap);

// Returns std::nullopt if the text is not a sequence of two-digit hex numbers.
std::optional<Bitmap> BitmapFromHex(const std::string& text);

}  // namespace parsleyquay

#endif  // PARSLEYQUAY_MEMBERSHIP_BITMAP_H_
