//! The tokens and answers of the stand-ins. They are pure functions of the prompt, so that a mix-up of answers shows.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Tokens per block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// The words of answers, Thai and English; one token each.
const WORDS: [&str; 24] = [
    "เรือ",
    "ออก",
    "จาก",
    "ท่า",
    "เวลา",
    "แปด",
    "โมง",
    "ครึ่ง",
    " ",
    "ผู้โดยสาร",
    "สามารถ",
    "ขอ",
    "คืน",
    "เงิน",
    "ได้",
    "ที่",
    "เคาน์เตอร์",
    " the",
    " ferry",
    " leaves",
    " at",
    "\n",
    "น้ำ",
    "ขึ้น",
];

pub fn hash<T: Hash>(value: T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The word at a position of the answer to a prompt, by the prompt's hash.
pub fn word(prompt_hash: u64, at: u32) -> &'static str {
    WORDS[(hash((prompt_hash, at)) % WORDS.len() as u64) as usize]
}

/// The first words of the answer to a prompt, as text.
pub fn answer(prompt: &str, words: u32) -> String {
    let prompt_hash = hash(prompt);
    (0..words).map(|at| word(prompt_hash, at)).collect()
}

/// The tokens of an answer. A token is a word, or, where the prompt contains `[[bytes]]`, two bytes of the text, so that
/// characters are split between tokens.
pub struct Tokens {
    prompt_hash: u64,
    /// Length of the answer in words.
    words: u32,
    /// The answer's text, if its tokens are pairs of bytes.
    bytes: Option<Vec<u8>>,
}

impl Tokens {
    pub fn for_prompt(prompt: &str) -> Tokens {
        let words = length(prompt);
        let bytes = prompt.contains("[[bytes]]").then(|| answer(prompt, words).into_bytes());
        Tokens { prompt_hash: hash(prompt), words, bytes }
    }

    pub fn count(&self) -> u32 {
        self.bytes.as_ref().map_or(self.words, |bytes| bytes.len().div_ceil(2) as u32)
    }

    pub fn token(&self, at: u32) -> Vec<u8> {
        match &self.bytes {
            Some(bytes) => bytes.chunks(2).nth(at as usize).unwrap_or_default().to_vec(),
            None => word(self.prompt_hash, at).as_bytes().to_vec(),
        }
    }
}

/// How many words the answer to a prompt has: as `[[len:N]]` in the prompt says, else 8 to 39.
pub fn length(prompt: &str) -> u32 {
    let requested = between(prompt, "[[len:").and_then(|text| text.parse().ok());
    requested.unwrap_or_else(|| 8 + (hash(prompt) % 32) as u32)
}

/// The tag that the client put into the prompt: the last `[[task:NAME]]`.
pub fn task_tag(prompt: &str) -> Option<&str> {
    between(prompt, "[[task:")
}

fn between<'a>(prompt: &'a str, before: &str) -> Option<&'a str> {
    let from = prompt.rfind(before)? + before.len();
    let rest = &prompt[from..];
    Some(&rest[..rest.find("]]")?])
}

/// Splits a prompt into tokens: each is up to four ASCII characters or up to two others. Returns the hash of each full
/// block, chained over all blocks before it, and the number of tokens.
pub fn blocks(prompt: &str) -> (Vec<u64>, u32) {
    let (mut blocks, mut tokens, mut chain, mut in_block) = (Vec::new(), 0u32, 0u64, 0usize);
    let (mut token, mut chars, mut ascii) = (0u64, 0u32, true);
    let mut end_token = |token: u64| {
        tokens += 1;
        in_block += 1;
        chain = hash((chain, token));
        if in_block == BLOCK_TOKENS {
            blocks.push(chain);
            in_block = 0;
        }
    };
    for c in prompt.chars() {
        if chars > 0 && (c.is_ascii() != ascii || chars == if ascii { 4 } else { 2 }) {
            end_token(token);
            (token, chars) = (0, 0);
        }
        ascii = c.is_ascii();
        token = token.wrapping_mul(0x0100_0000_01b3) ^ u64::from(c as u32);
        chars += 1;
    }
    if chars > 0 {
        end_token(token);
    }
    (blocks, tokens)
}
