//! The stand-ins' tokens and answers: pure functions of the prompt, so that any mix-up is seen.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Tokens of one kept block.
pub const BLOCK: usize = 16;

/// Words of which answers are made, Thai and English; one token each.
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

/// The token at a place of the answer to a prompt.
pub fn word(prompt: u64, at: u32) -> &'static str {
    WORDS[(hash((prompt, at)) % WORDS.len() as u64) as usize]
}

/// The first tokens of the answer to a prompt, as text.
pub fn answer(prompt: &str, tokens: u32) -> String {
    let prompt = hash(prompt);
    (0..tokens).map(|at| word(prompt, at)).collect()
}

/// An answer as its tokens: words, or where the prompt says `[[bytes]]` two bytes of them each, so that characters
/// break over tokens.
pub struct Tokens {
    prompt: u64,
    words: u32,
    bytes: Option<Vec<u8>>,
}

impl Tokens {
    pub fn of(prompt: &str) -> Tokens {
        let words = length(prompt);
        let bytes = prompt.contains("[[bytes]]").then(|| answer(prompt, words).into_bytes());
        Tokens { prompt: hash(prompt), words, bytes }
    }

    pub fn count(&self) -> u32 {
        self.bytes.as_ref().map_or(self.words, |bytes| bytes.len().div_ceil(2) as u32)
    }

    pub fn token(&self, at: u32) -> Vec<u8> {
        match &self.bytes {
            Some(bytes) => bytes.chunks(2).nth(at as usize).unwrap_or_default().to_vec(),
            None => word(self.prompt, at).as_bytes().to_vec(),
        }
    }
}

/// How many words the answer has that a prompt asks for: `[[len:N]]` in it, else 8 to 39.
pub fn length(prompt: &str) -> u32 {
    let told = between(prompt, "[[len:").and_then(|text| text.parse().ok());
    told.unwrap_or_else(|| 8 + (hash(prompt) % 32) as u32)
}

/// The mark by which a prompt's client knows it: the last `[[task:NAME]]`.
pub fn mark(prompt: &str) -> Option<&str> {
    between(prompt, "[[task:")
}

fn between<'a>(prompt: &'a str, before: &str) -> Option<&'a str> {
    let from = prompt.rfind(before)? + before.len();
    let rest = &prompt[from..];
    Some(&rest[..rest.find("]]")?])
}

/// Cuts a prompt into tokens: four ASCII bytes or two other characters of a run each. Gives each block's hash,
/// chained over all before it, and the number of tokens.
pub fn blocks(prompt: &str) -> (Vec<u64>, u32) {
    let (mut blocks, mut tokens, mut chain, mut in_block) = (Vec::new(), 0u32, 0u64, 0usize);
    let (mut token, mut chars, mut ascii) = (0u64, 0u32, true);
    let mut end = |token: u64| {
        tokens += 1;
        in_block += 1;
        chain = hash((chain, token));
        if in_block == BLOCK {
            blocks.push(chain);
            in_block = 0;
        }
    };
    for c in prompt.chars() {
        if chars > 0 && (c.is_ascii() != ascii || chars == if ascii { 4 } else { 2 }) {
            end(token);
            (token, chars) = (0, 0);
        }
        ascii = c.is_ascii();
        token = token.wrapping_mul(0x0100_0000_01b3) ^ u64::from(c as u32);
        chars += 1;
    }
    if chars > 0 {
        end(token);
    }
    (blocks, tokens)
}
