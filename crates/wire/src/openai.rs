//! Requests, chunks and full responses of the OpenAI-compatible completion endpoints.

use std::borrow::Cow;
use std::fmt;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::{Map, Value};

/// Estimated bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Distance between two prefix hashes, in bytes of the prompt.
pub const PREFIX_BYTES: usize = 256;

/// Maximum number of prefix hashes of one prompt.
pub const MAX_PREFIX_HASHES: usize = 64;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV1A: (u64, u64) = (0xcbf2_9ce4_8422_2325, 0x0000_0100_0000_01b3);

/// Endpoint of a generation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/completions`
    Completion,
    /// `/v1/chat/completions`
    Chat,
}

impl Endpoint {
    /// Path of the endpoint.
    pub fn path(self) -> &'static str {
        match self {
            Endpoint::Completion => "/v1/completions",
            Endpoint::Chat => "/v1/chat/completions",
        }
    }
}

/// The text is not a valid request or response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// Not JSON of the expected shape.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or has an invalid value.
    #[error("{0}")]
    Field(&'static str),
}

/// Body of a generation request.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct GenerationRequest<'a> {
    /// Name of the requested service.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Whether the caller requests a streamed response.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(borrow, default)]
    prompt: Option<Prompt<'a>>,
    #[serde(borrow, default)]
    messages: Option<Vec<ChatMessage<'a>>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Tokens(Vec<u32>),
    Texts(Vec<Cow<'a, str>>),
    TokenLists(Vec<Vec<u32>>),
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ChatMessage<'a> {
    #[serde(borrow, default)]
    role: Cow<'a, str>,
    #[serde(borrow, default)]
    content: Option<Content<'a>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum Content<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Parts(Vec<ContentPart<'a>>),
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ContentPart<'a> {
    #[serde(borrow, default)]
    text: Cow<'a, str>,
}

/// Parses the body of a request to an endpoint.
///
/// ```
/// use hornbeamloom_wire::openai::{parse_request, Endpoint};
///
/// let body = br#"{"model": "menu-model", "prompt": "Monday:", "max_tokens": 8, "stream": true}"#;
/// let request = parse_request(Endpoint::Completion, body).unwrap();
/// assert_eq!((&*request.model, request.stream), ("menu-model", true));
/// assert_eq!(request.max_tokens(), Some(8));
/// assert_eq!(request.prompt_tokens(), 2);
/// ```
pub fn parse_request(endpoint: Endpoint, body: &[u8]) -> Result<GenerationRequest<'_>, Error> {
    let request: GenerationRequest<'_> = serde_json::from_slice(body)?;
    if request.max_tokens() == Some(0) {
        return Err(Error::Field("max_tokens must be at least 1"));
    }
    let has_prompt = match endpoint {
        Endpoint::Completion => request.prompt.is_some(),
        Endpoint::Chat => request.messages.as_ref().is_some_and(|list| !list.is_empty()),
    };
    match (has_prompt, endpoint) {
        (true, _) => Ok(request),
        (false, Endpoint::Completion) => Err(Error::Field("prompt is missing")),
        (false, Endpoint::Chat) => Err(Error::Field("messages is missing or empty")),
    }
}

impl GenerationRequest<'_> {
    /// Maximum number of output tokens, if the caller sets one.
    pub fn max_tokens(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Estimated length of the prompt in tokens, at least 1.
    pub fn prompt_tokens(&self) -> u32 {
        let (mut bytes, mut tokens) = (0, 0);
        self.visit_pieces(&mut |piece| match piece {
            PromptPiece::Text(text) => bytes += text.len(),
            PromptPiece::Token(_) => tokens += 1,
        });
        let tokens = bytes.div_ceil(BYTES_PER_TOKEN) + tokens;
        u32::try_from(tokens).unwrap_or(u32::MAX).max(1)
    }

    /// Hashes of the prompt's prefixes whose lengths are multiples of `PREFIX_BYTES`, shortest
    /// first.
    ///
    /// Each is the 64-bit FNV-1a hash of all prompt bytes up to its length. Text pieces are
    /// concatenated without separators, a token is hashed as four little-endian bytes, and a chat
    /// message as its role, a line feed, its content and a line feed. A remainder shorter than
    /// `PREFIX_BYTES` is not hashed.
    pub fn prefix_hashes(&self) -> Vec<u64> {
        let mut hasher = PrefixHasher::new();
        self.visit_pieces(&mut |piece| match piece {
            PromptPiece::Text(text) => hasher.update(text.as_bytes()),
            PromptPiece::Token(token) => hasher.update(&token.to_le_bytes()),
        });
        hasher.hashes
    }

    fn visit_pieces(&self, visit: &mut impl FnMut(PromptPiece<'_>)) {
        match &self.prompt {
            Some(Prompt::Text(text)) => visit(PromptPiece::Text(text)),
            Some(Prompt::Texts(texts)) => {
                texts.iter().for_each(|text| visit(PromptPiece::Text(text)))
            }
            Some(Prompt::Tokens(tokens)) => {
                tokens.iter().for_each(|token| visit(PromptPiece::Token(*token)))
            }
            Some(Prompt::TokenLists(lists)) => {
                lists.iter().flatten().for_each(|token| visit(PromptPiece::Token(*token)));
            }
            None => {}
        }
        for message in self.messages.iter().flatten() {
            visit(PromptPiece::Text(&message.role));
            visit(PromptPiece::Text("\n"));
            match &message.content {
                Some(Content::Text(text)) => visit(PromptPiece::Text(text)),
                Some(Content::Parts(parts)) => {
                    parts.iter().for_each(|part| visit(PromptPiece::Text(&part.text)));
                }
                None => {}
            }
            visit(PromptPiece::Text("\n"));
        }
    }
}

/// Prefix hashes of a prompt that is a single text, as in [`GenerationRequest::prefix_hashes`].
///
/// ```
/// use hornbeamloom_wire::openai::{prefix_hashes, PREFIX_BYTES};
///
/// assert_eq!(prefix_hashes(&"x".repeat(3 * PREFIX_BYTES)).len(), 3);
/// ```
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = PrefixHasher::new();
    hasher.update(prompt.as_bytes());
    hasher.hashes
}

/// Running hash of a prompt, and the prefix hashes taken so far.
struct PrefixHasher {
    hashes: Vec<u64>,
    hash: u64,
    length: usize,
}

impl PrefixHasher {
    fn new() -> PrefixHasher {
        PrefixHasher { hashes: Vec::new(), hash: FNV1A.0, length: 0 }
    }

    fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.hashes.len() == MAX_PREFIX_HASHES {
                return;
            }
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(FNV1A.1);
            self.length += 1;
            if self.length % PREFIX_BYTES == 0 {
                self.hashes.push(self.hash);
            }
        }
    }
}

enum PromptPiece<'a> {
    Text(&'a str),
    Token(u32),
}

/// Members of a JSON object in their order, with unparsed values.
struct RawObject<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'de> Deserialize<'de> for RawObject<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RawObject<'de>, D::Error> {
        struct ObjectVisitor;
        impl<'de> Visitor<'de> for ObjectVisitor {
            type Value = RawObject<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a JSON object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawObject<'de>, A::Error> {
                let mut members = Vec::new();
                while let Some(key) = map.next_key::<MemberName<'de>>()? {
                    members.push((key.0, map.next_value::<&'de RawValue>()?));
                }
                Ok(RawObject(members))
            }
        }
        deserializer.deserialize_map(ObjectVisitor)
    }
}

#[derive(Deserialize)]
struct MemberName<'a>(#[serde(borrow)] Cow<'a, str>);

/// Rewrites a caller's body for an engine: sets `stream` to true and adds the priority.
///
/// ```
/// let body = hornbeamloom_wire::openai::to_engine_body(br#"{"model": "m", "stream": false}"#, 3);
/// assert_eq!(body.unwrap(), br#"{"model":"m","stream":true,"priority":3}"#);
/// ```
pub fn to_engine_body(body: &[u8], priority: i32) -> Result<Vec<u8>, Error> {
    let members: RawObject<'_> = serde_json::from_slice(body)?;
    let mut out = Vec::with_capacity(body.len() + 32);
    out.push(b'{');
    for (key, value) in &members.0 {
        if matches!(&**key, "stream" | "priority") {
            continue;
        }
        serde_json::to_writer(&mut out, key)?;
        out.push(b':');
        out.extend_from_slice(value.get().as_bytes());
        out.push(b',');
    }
    out.extend_from_slice(format!("\"stream\":true,\"priority\":{priority}}}").as_bytes());
    Ok(out)
}

/// The fields of a chunk of a streamed response that routing needs.
#[derive(Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Chunk<'a> {
    /// Id of the generation.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    #[serde(borrow, default)]
    choices: Vec<Choice<'a>>,
}

#[derive(Debug, PartialEq, Eq)]
#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(borrow, default)]
    finish_reason: Option<Cow<'a, str>>,
}

impl Chunk<'_> {
    /// Whether the chunk ends a choice.
    pub fn is_final(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason.is_some())
    }
}

/// Parses a chunk.
///
/// ```
/// use hornbeamloom_wire::openai::parse_chunk;
///
/// let text = r#"{"id": "g1", "choices": [{"text": "a", "finish_reason": "stop"}]}"#;
/// let chunk = parse_chunk(text).unwrap();
/// assert_eq!(&*chunk.id, "g1");
/// assert!(chunk.is_final());
/// ```
pub fn parse_chunk(text: &str) -> Result<Chunk<'_>, Error> {
    Ok(serde_json::from_str(text)?)
}

/// Assembles the chunks of a streamed response into a full response.
///
/// ```
/// use hornbeamloom_wire::openai::{Endpoint, ResponseAssembler};
///
/// let mut assembler = ResponseAssembler::new(Endpoint::Completion);
/// assembler.push_chunk(r#"{"id": "g", "choices": [{"index": 0, "text": "He"}]}"#).unwrap();
/// assembler.push_chunk(r#"{"id": "g", "choices": [{"index": 0, "text": "llo"}]}"#).unwrap();
/// let body = assembler.finish();
/// assert!(String::from_utf8(body).unwrap().contains(r#""text":"Hello""#));
/// ```
#[derive(Debug)]
pub struct ResponseAssembler {
    endpoint: Endpoint,
    response: Map<String, Value>,
}

impl ResponseAssembler {
    /// A response without chunks.
    pub fn new(endpoint: Endpoint) -> ResponseAssembler {
        ResponseAssembler { endpoint, response: Map::new() }
    }

    /// Adds the next chunk.
    pub fn push_chunk(&mut self, chunk: &str) -> Result<(), Error> {
        let chunk: Map<String, Value> = serde_json::from_str(chunk)?;
        for (key, value) in chunk {
            match value {
                Value::Array(choices) if key == "choices" => self.merge_choices(choices)?,
                Value::Null => {}
                value => {
                    self.response.insert(key, value);
                }
            }
        }
        Ok(())
    }

    fn merge_choices(&mut self, choices: Vec<Value>) -> Result<(), Error> {
        let is_chat = self.endpoint == Endpoint::Chat;
        let choices_so_far =
            self.response.entry("choices").or_insert_with(|| Value::Array(Vec::new()));
        for mut choice in choices {
            if let (true, Value::Object(members)) = (is_chat, &mut choice) {
                if let Some(delta) = members.remove("delta") {
                    members.insert("message".to_owned(), delta);
                }
            }
            merge(choices_so_far, Value::Array(vec![choice]));
        }
        Ok(())
    }

    /// The full response as JSON.
    pub fn finish(mut self) -> Vec<u8> {
        let object = match self.endpoint {
            Endpoint::Completion => "text_completion",
            Endpoint::Chat => "chat.completion",
        };
        self.response.insert("object".to_owned(), object.into());
        serde_json::to_vec(&self.response).expect("JSON values always serialise")
    }
}

/// Members that each chunk repeats; their values replace earlier ones.
const REPEATED_MEMBERS: [&str; 6] = ["id", "type", "role", "name", "index", "finish_reason"];

/// Merges `delta` into `merged`: appends strings, merges objects, and merges arrays by `index`.
fn merge(merged: &mut Value, delta: Value) {
    match (merged, delta) {
        (_, Value::Null) => {}
        (Value::String(merged), Value::String(delta)) => merged.push_str(&delta),
        (Value::Object(merged), Value::Object(delta)) => {
            for (key, value) in delta {
                match merged.get_mut(&key) {
                    Some(old) if !REPEATED_MEMBERS.contains(&key.as_str()) => merge(old, value),
                    Some(_) if value.is_null() => {}
                    _ => {
                        merged.insert(key, value);
                    }
                }
            }
        }
        (Value::Array(merged), Value::Array(delta)) => {
            for value in delta {
                let index = value.get("index").cloned();
                let old = merged
                    .iter_mut()
                    .find(|old| index.is_some() && old.get("index") == index.as_ref());
                match old {
                    Some(old) => merge(old, value),
                    None => merged.push(value),
                }
            }
        }
        (merged, delta) => *merged = delta,
    }
}
