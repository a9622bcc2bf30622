//! Prompts as chains of hashed blocks. Each hash covers its block and all blocks before it, so that one hash
//! identifies a whole prefix. The hash is keyed (SipHash: Aumasson and Bernstein, 2012), so that clients can
//! neither produce collisions nor infer a text from its hash. A salt per customer separates the texts of
//! customers.

use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Tokens per block, estimated as a quarter of a token for each ASCII byte and half a token for each other
/// character. This is twice the block size of 16 tokens that engines commonly use for their caches: it halves
/// the work, and less than one block of a cached text is overlooked.
pub const BLOCK_TOKENS: u32 = 32;

/// The secret key of the hash.
#[derive(Clone, Copy)]
pub struct HashKey(pub [u8; 16]);

impl HashKey {
    /// Appends the hashes of the complete blocks of a text. Where a block begins depends only on the text
    /// before it.
    pub fn hash_blocks(&self, salt: u64, text: &str, out: &mut Vec<u64>) {
        let (mut previous, mut from, mut quarter_tokens) = (salt, 0, 0);
        for (at, c) in text.char_indices() {
            quarter_tokens += if c.is_ascii() { 1 } else { 2 };
            if quarter_tokens >= 4 * BLOCK_TOKENS {
                let end = at + c.len_utf8();
                let mut hasher = SipHasher24::new_with_key(&self.0);
                hasher.write_u64(previous);
                hasher.write(&text.as_bytes()[from..end]);
                previous = hasher.finish();
                out.push(previous);
                (from, quarter_tokens) = (end, 0);
            }
        }
    }
}
