// Who put a document: a comment in front of its text, so that author and document are accepted by
// one compare-and-swap.
//
//   std::string text = WithAuthor({ .mName = "ana", .mNonce = nonce, .mAt = aNow }, document);
//   std::optional<Author> author = AuthorOf(text);
//
// Pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

struct Author
{
  std::string mName;
  // Drawn anew for each put: tells a writer its own document when it reads the store.
  std::string mNonce;
  WallTime mAt;

  friend bool operator==(const Author&, const Author&) = default;
};

// Returns whether a name may stand in the comment: 1 to 64 letters, digits and "._@-".
bool
IsAuthorName(std::string_view aName);

// Replaces the author of a document's text.
std::string
WithAuthor(const Author& aAuthor, std::string_view aText);

// Returns nothing for a text without an author's comment.
std::optional<Author>
AuthorOf(std::string_view aText);

} // namespace trefoil
