//! Percent-decoding (RFC 3986, section 2.1) of path segments and literals of
//! templates.

use std::borrow::Cow;

/// Decodes `text`. Returns `None` if an escape is malformed or the result is not
/// UTF-8.
pub(crate) fn percent_decode(text: &str) -> Option<Cow<'_, str>> {
    if !text.contains('%') {
        return Some(Cow::Borrowed(text));
    }
    let mut bytes = text.bytes();
    let mut decoded = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            decoded.push(hex_value(bytes.next()?)? << 4 | hex_value(bytes.next()?)?);
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).ok().map(Cow::Owned)
}

/// The value of a hexadecimal digit in either case.
fn hex_value(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        b'A'..=b'F' => Some(byte - b'A' + 10),
        _ => None,
    }
}
