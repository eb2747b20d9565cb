// The author of a document: a comment on the first line of its text. One compare-and-swap therefore
// writes the author together with the document.
//
//   std::string text = WithAuthor({ .mName = "ana", .mNonce = nonce, .mAt = aNow }, document);
//   std::optional<Author> author = ParseAuthor(text);
//
// Pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

// Who wrote a document, and when.
struct Author
{
  std::string mName;
  // A new random value for each write. A writer that lost the answer to its write recognizes its
  // own document by it when it reads the store.
  std::string mNonce;
  WallTime mAt;

  friend bool operator==(const Author&, const Author&) = default;
};

// Returns whether a name is valid in the comment: 1 to 64 characters out of ASCII letters, digits
// and
// "._@-".
bool
IsValidAuthorName(std::string_view aName);

// Returns the text of a document with the comment of `aAuthor` in place of the former author's
// comment, if any. The name and the nonce must not contain spaces or line breaks.
std::string
WithAuthor(const Author& aAuthor, std::string_view aText);

// Returns the author of a document's text, or std::nullopt if its first line is not a valid
// author's comment.
std::optional<Author>
ParseAuthor(std::string_view aText);

} // namespace trefoil
