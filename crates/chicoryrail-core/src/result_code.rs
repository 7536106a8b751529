//! The numbered results that callers and operators see.

use std::fmt;

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $run:literal, $text:literal;)*) => {
        /// A numbered result; the number never changes its meaning.
        ///
        /// `docs/RESULT-CODES.md` is the table for people; a test keeps the two alike.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$doc])* #[doc = $text] $name = $number,)*
        }

        impl ResultCode {
            /// Every code, in the order of the numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the HTTP status that carries the code.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Tells what is known of the request's run: `done`, `not run` or `unknown`.
            #[must_use]
            pub const fn run(self) -> &'static str {
                match self { $(Self::$name => $run,)* }
            }

            /// Returns the meaning in one line.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Finds the code of a number.
            #[must_use]
            pub const fn from_number(number: u16) -> Option<Self> {
                match number { $($number => Some(Self::$name),)* _ => None }
            }
        }
    };
}

codes! {
    Ok = 0, 200, "done", "The request is done.";

    BadRequest = 1000, 400, "not run", "The request is no valid HTTP or holds an unusable value.";
    HeadTooLarge = 1001, 431, "not run", "The request's headers are larger than the limit.";
    BodyTooLarge = 1002, 413, "not run", "The request's body is larger than the service's limit.";
    UnknownService = 1003, 404, "not run", "No service in force has the request's path.";
    KeyMissing = 1004, 400, "not run", "A keyed service was called without a key in the path.";
    OrderIdMissing = 1005, 400, "not run", "An order came without a valid order-id header.";
    OrderIdReused = 1006, 422, "not run", "The order id was used for a different order.";
    OrderNotKnown = 1007, 404, "unknown", "Nothing is known of the order id.";
    TooManyConnections = 1008, 503, "not run", "The gate holds as many connections as its limit.";
    SlowSender = 1009, 408, "not run", "The request did not arrive within the time limit.";

    Overloaded = 1100, 503, "not run", "The queue is full or the request can't finish in time.";
    DeadlinePassed = 1101, 504, "not run", "The deadline passed before the request was sent to a server.";
    NoServer = 1102, 503, "not run", "No server may take the request now.";
    OwnerMoving = 1103, 503, "not run", "The key's owner changes and the request waited as long as it may.";
    Leaving = 1104, 503, "not run", "The gate is stopping and takes no new work.";
    NotReady = 1105, 503, "not run", "The gate has no configuration or no routes yet.";

    OutcomeUnknown = 1200, 502, "unknown", "The request may have run; its answer was lost.";
    AnswerCut = 1201, 502, "unknown", "The server's answer ended early.";
    AnswerLate = 1202, 504, "unknown", "The request was sent and no answer came before the deadline.";

    BundleSyntax = 2000, 400, "not run", "The bundle is no valid TOML of the expected shape.";
    BundleInvalid = 2001, 400, "not run", "A field of the bundle holds an unusable value.";
    BundleUnknown = 2002, 404, "not run", "No bundle has that digest.";
    BundleUnsigned = 2003, 409, "not run", "The bundle is not signed off by a second operator.";
    SignatureBad = 2004, 403, "not run", "The signature does not fit the digest and a known operator key.";
    SignerIsAuthor = 2005, 403, "not run", "The author of a bundle may not sign it off alone.";
    RollConflict = 2006, 409, "not run", "Another change was rolled first; the winner's version is named.";
    RollPending = 2007, 202, "done", "The change is stored; not all hosts have it in force yet.";
    CapacityShort = 2008, 409, "not run", "The rest could not bear the load; force is needed.";
    NotAllowed = 2009, 403, "not run", "The operator's team or role does not allow the change.";
    TokenMissing = 2010, 401, "not run", "The administration API needs a bearer token.";
    NameUnknown = 2011, 404, "not run", "No data centre, host, server or service has that name.";

    StoreDown = 3000, 503, "unknown", "The platform's store does not answer.";
    StoreConflict = 3001, 409, "not run", "The store holds a newer version than expected.";
    NotHolder = 3002, 409, "not run", "The process does not hold the shard.";
    FenceOld = 3003, 409, "not run", "The fence is older than one the server has seen.";
    Shed = 3004, 503, "not run", "The server shed the request before running it.";

    SettingInvalid = 4000, 400, "not run", "A flag or environment variable holds an unusable value.";
    Internal = 5000, 500, "unknown", "A fault of the program; the event log has more.";
}

impl ResultCode {
    /// Returns the number.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}
