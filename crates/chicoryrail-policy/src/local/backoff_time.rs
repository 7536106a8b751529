//! Parses the time for which a server asks a host to send it nothing.

use chicoryrail_core::Millis;

/// Parses the seconds in a server's `Retry-After` header, which may include a fraction; part of a millisecond counts as
/// a whole one.
///
/// # Errors
///
/// Returns the value if it is not a finite number of at least 0. The date form of the header is not supported: it
/// would depend on the clocks of two machines.
///
/// # Example
///
/// ```
/// use chicoryrail_core::Millis;
/// use chicoryrail_policy::parse_backoff_time;
///
/// assert_eq!(parse_backoff_time("3"), Ok(Millis(3_000)));
/// assert_eq!(parse_backoff_time("0.2504"), Ok(Millis(251)));
/// assert_eq!(parse_backoff_time("-1"), Err("-1"));
/// ```
pub fn parse_backoff_time(text: &str) -> Result<Millis, &str> {
    match text.trim().parse::<f64>() {
        Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
            Ok(Millis((seconds * 1_000.0).ceil() as u64))
        }
        _ => Err(text),
    }
}
