//! Identity of a request across its repetitions.

use xxhash_rust::xxh3::Xxh3;

/// Hash of the content of a request, the same for each repetition at any host.
pub type Fingerprint = u64;

/// Returns the fingerprint of a request. Headers do not count, since some differ with each attempt
/// of a caller.
pub fn fingerprint(method: &str, host: &str, target: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::new();
    for field in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
        // The length keeps the boundaries between fields distinct.
        hasher.update(&field.len().to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}
