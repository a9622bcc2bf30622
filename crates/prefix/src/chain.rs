//! Prompts as chains of hashed blocks: each hash is over its block and all before it, so that one hash names a whole
//! opening text. Keyed, so that nobody can make two texts meet or tell from a place in the index what a text is
//! (SipHash: Aumasson and Bernstein, 2012); a customer's salt keeps its texts apart from others'.

use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Tokens of a block, by the rule of thumb: a quarter for each ASCII byte, half for each other character. Two of the
/// blocks of sixteen that engines commonly keep: half the work, and at most that much of a kept text is overlooked.
pub const BLOCK: u32 = 32;

/// What keys the hash.
#[derive(Clone, Copy)]
pub struct Key(pub [u8; 16]);

impl Key {
    /// Appends the hashes of a text's whole blocks. What a block begins with depends on nothing that follows it.
    pub fn chain(&self, salt: u64, text: &str, out: &mut Vec<u64>) {
        // In quarters of a token.
        let (mut before, mut from, mut size) = (salt, 0, 0);
        for (at, c) in text.char_indices() {
            size += if c.is_ascii() { 1 } else { 2 };
            if size >= 4 * BLOCK {
                let end = at + c.len_utf8();
                let mut hasher = SipHasher24::new_with_key(&self.0);
                hasher.write_u64(before);
                hasher.write(&text.as_bytes()[from..end]);
                before = hasher.finish();
                out.push(before);
                (from, size) = (end, 0);
            }
        }
    }
}
