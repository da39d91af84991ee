//! Parses the HTTP/1.1 responses of discovery, whose body has a Content-Length, is chunked or ends with the connection.

use std::borrow::Cow;
use thiserror::Error;

/// The maximum number of header fields of a response.
const MAX_HEADERS: usize = 32;

/// The status of responses that contain an endpoint list.
const STATUS_OK: u16 = 200;

/// The size in bytes of the line end after the data of a chunk.
const CHUNK_TERMINATOR_BYTES: usize = 2;

/// Why a response contains no endpoint list.
#[derive(Debug, Error)]
pub(super) enum ResponseError {
    /// The head is malformed.
    #[error("malformed HTTP response head: {0}")]
    Head(httparse::Error),
    /// The status is not 200.
    #[error("status {0}, expected {STATUS_OK}")]
    Status(u16),
    /// The Content-Length is not a number of bytes.
    #[error("Content-Length {0:?} is not a number of bytes")]
    ContentLength(String),
    /// The size of a chunk is malformed.
    #[error("{0}, expected a hexadecimal number")]
    ChunkSize(httparse::InvalidChunkSize),
    /// The response is larger than what may be buffered.
    #[error("the response is larger than the limit of {max_size} bytes")]
    TooLong {
        /// The limit in bytes.
        max_size: usize,
    },
    /// The body is not the JSON form of an endpoint list.
    #[error("the body is not an endpoint list: {0}")]
    Body(serde_json::Error),
}

/// The body of a complete response.
pub(super) struct ResponseBody<'a> {
    /// The body, with the data of its chunks joined.
    pub(super) content: Cow<'a, [u8]>,
    /// The size in bytes of the response, including informational responses before it.
    pub(super) response_size: usize,
}

/// Parses the response at the start of `bytes`, after any informational (1xx) ones. Returns `None` if it is incomplete. A
/// response whose size is known to exceed `max_size` bytes is an error. A response without a length is complete once the
/// peer has closed its side of the connection (`is_closed`).
pub(super) fn parse_response(
    bytes: &[u8],
    is_closed: bool,
    max_size: usize,
) -> Result<Option<ResponseBody<'_>>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(bytes).map_err(ResponseError::Head)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial => return Ok(None),
    };
    let status = head.code.unwrap_or(0);
    if (100..200).contains(&status) {
        let next = parse_response(&bytes[body_start..], is_closed, max_size)?;
        return Ok(next.map(|body| ResponseBody {
            content: body.content,
            response_size: body_start + body.response_size,
        }));
    }
    // The body is not an endpoint list, so there is no need to wait for it.
    if status != STATUS_OK {
        return Err(ResponseError::Status(status));
    }
    if let Some(length) = header(&head, "Content-Length") {
        let parsed = length.trim().parse();
        let length = parsed.map_err(|_| ResponseError::ContentLength(length.to_string()))?;
        return parse_sized_body(bytes, body_start, length, max_size);
    }
    let encoding = header(&head, "Transfer-Encoding");
    if encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked")) {
        return parse_chunks(bytes, body_start, max_size);
    }
    Ok(is_closed.then(|| ResponseBody {
        content: Cow::Borrowed(&bytes[body_start..]),
        response_size: bytes.len(),
    }))
}

/// Returns the value of a header field, if the response has the field and the value is UTF-8.
fn header<'a>(head: &httparse::Response<'_, 'a>, name: &str) -> Option<&'a str> {
    let field = head
        .headers
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(field.value).ok()
}

/// Returns the body of `length` bytes that begins at `start`, or `None` if it is incomplete.
fn parse_sized_body(
    bytes: &[u8],
    start: usize,
    length: usize,
    max_size: usize,
) -> Result<Option<ResponseBody<'_>>, ResponseError> {
    if length > max_size.saturating_sub(start) {
        return Err(ResponseError::TooLong { max_size });
    }
    let end = start + length;
    Ok(bytes.get(start..end).map(|content| ResponseBody {
        content: Cow::Borrowed(content),
        response_size: end,
    }))
}

/// Joins the chunks that begin at `start`, up to the empty last one. Returns `None` if they are incomplete; nothing is
/// copied before they are complete.
fn parse_chunks(
    bytes: &[u8],
    start: usize,
    max_size: usize,
) -> Result<Option<ResponseBody<'_>>, ResponseError> {
    let mut next = start;
    let mut content_size = 0;
    loop {
        let Some((data, end)) = parse_chunk(bytes, next, max_size)? else {
            return Ok(None);
        };
        content_size += data.len();
        next = end;
        if data.is_empty() {
            break;
        }
    }
    let response_size = next;
    let mut content = Vec::with_capacity(content_size);
    next = start;
    while let Some((data, end)) = parse_chunk(bytes, next, max_size)? {
        if data.is_empty() {
            break;
        }
        content.extend_from_slice(data);
        next = end;
    }
    Ok(Some(ResponseBody {
        content: Cow::Owned(content),
        response_size,
    }))
}

/// Returns the data of the chunk that begins at `start` and the offset after it, or `None` if it is incomplete. The data
/// of the last chunk is empty.
fn parse_chunk(
    bytes: &[u8],
    start: usize,
    max_size: usize,
) -> Result<Option<(&[u8], usize)>, ResponseError> {
    let parsed = httparse::parse_chunk_size(&bytes[start..]).map_err(ResponseError::ChunkSize)?;
    let httparse::Status::Complete((head_size, length)) = parsed else {
        return Ok(None);
    };
    let data_start = start + head_size;
    let end = chunk_end(data_start, length)
        .filter(|end| *end <= max_size)
        .ok_or(ResponseError::TooLong { max_size })?;
    let data = bytes.get(data_start..end);
    Ok(data.map(|data| (&data[..data.len() - CHUNK_TERMINATOR_BYTES], end)))
}

/// Returns the offset after a chunk and its line end, or `None` if it exceeds the range of `usize`.
fn chunk_end(data_start: usize, length: u64) -> Option<usize> {
    let length = usize::try_from(length).ok()?;
    data_start
        .checked_add(length)?
        .checked_add(CHUNK_TERMINATOR_BYTES)
}
