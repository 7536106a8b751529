//! Who may do what.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chicoryrail_core::Digest;
use chicoryrail_core::OperatorName;
use chicoryrail_core::ResultCode;
use chicoryrail_core::TeamName;
use ed25519_dalek::Signature;
use ed25519_dalek::VerifyingKey;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use subtle::ConstantTimeEq;

use crate::ApiError;

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Reads only.
    View,
    /// Reads and changes.
    Operate,
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "view" => Ok(Self::View),
            "operate" => Ok(Self::Operate),
            _ => Err(format!("role {text:?} is neither view nor operate")),
        }
    }
}

/// Whose services an operator may change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Those of every team; written `*`.
    Every,
    /// Those of one team.
    Team(TeamName),
}

impl Scope {
    /// Tells whether the scope holds the team.
    #[must_use]
    pub fn covers(&self, team: &TeamName) -> bool {
        match self {
            Self::Every => true,
            Self::Team(own) => own == team,
        }
    }
}

impl FromStr for Scope {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let team = TeamName::new(text);
        match text {
            "*" => Ok(Self::Every),
            _ if team.is_valid() => Ok(Self::Team(team)),
            _ => Err(format!("team {text:?} is neither * nor a valid name")),
        }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Every => f.write_str("*"),
            Self::Team(team) => write!(f, "{team}"),
        }
    }
}

/// An operator whose signature counts; written `NAME=ROLE:TEAM:PUBLICKEY`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operator {
    /// Name of the operator.
    pub name: OperatorName,
    /// What the operator may do.
    pub role: Role,
    /// Whose services.
    pub scope: Scope,
    /// The ed25519 key that the operator's signatures are checked with.
    pub key: VerifyingKey,
}

impl FromStr for Operator {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let form = || format!("{text:?} is not NAME=ROLE:TEAM:PUBLICKEY");
        let (name, rest) = text.split_once('=').ok_or_else(form)?;
        let mut parts = rest.splitn(3, ':');
        let role = parts.next().ok_or_else(form)?.parse()?;
        let scope = parts.next().ok_or_else(form)?.parse()?;
        let key = parts.next().ok_or_else(form)?;
        let bytes = STANDARD.decode(key).map_err(|e| format!("key: {e}"))?;
        let bytes: [u8; 32] = bytes
            .try_into()
            .map_err(|_| "key: is not 32 bytes in base64".to_owned())?;
        Ok(Self {
            name: operator_name(name)?,
            role,
            scope,
            key: VerifyingKey::from_bytes(&bytes).map_err(|e| format!("key: {e}"))?,
        })
    }
}

/// A bearer token; written `TOKEN=ROLE:OPERATOR:TEAM`.
#[derive(Clone, PartialEq, Eq)]
pub struct Token {
    secret: Digest,
    caller: Caller,
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Token")
            .field("caller", &self.caller)
            .finish()
    }
}

impl FromStr for Token {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The message must not repeat the text: it holds the secret.
        let form = || "is not TOKEN=ROLE:OPERATOR:TEAM".to_owned();
        let (secret, rest) = text.rsplit_once('=').ok_or_else(form)?;
        let parts: Vec<&str> = rest.split(':').collect();
        let &[role, name, scope] = parts.as_slice() else {
            return Err(form());
        };
        if secret.len() < 8 {
            return Err("token is shorter than 8 characters".to_owned());
        }
        Ok(Self {
            secret: Digest::of(secret.as_bytes()),
            caller: Caller {
                name: Some(operator_name(name)?),
                role: role.parse()?,
                scope: scope.parse()?,
            },
        })
    }
}

/// Who makes a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Name of the operator; `None` on an open API where the header `operator` is missing.
    pub name: Option<OperatorName>,
    /// What the caller may do.
    pub role: Role,
    /// Whose services.
    pub scope: Scope,
}

impl Caller {
    /// Returns the name of a caller who may change something.
    ///
    /// # Errors
    ///
    /// Refuses a caller of role `view`, and one without a name: the audit record needs it.
    pub fn operate(&self) -> Result<&OperatorName, ApiError> {
        let Some(name) = &self.name else {
            return Err(ApiError::field("header operator", "", "is missing"));
        };
        if self.role < Role::Operate {
            let text = format!("operator {name} has the role view; operate is needed");
            return Err(ApiError::new(ResultCode::NotAllowed, text));
        }
        Ok(name)
    }

    /// Checks that the caller may change what belongs to `team`.
    ///
    /// # Errors
    ///
    /// Refuses a caller of another team.
    pub fn touch(&self, team: &TeamName) -> Result<(), ApiError> {
        if self.scope.covers(team) {
            return Ok(());
        }
        let name = self.name.as_ref().map_or("", OperatorName::as_str);
        let text = format!(
            "operator {name} of team {} may not change what belongs to team {team}",
            self.scope
        );
        Err(ApiError::new(ResultCode::NotAllowed, text))
    }
}

/// The known operators and tokens.
#[derive(Clone, Debug, Default)]
pub struct Access {
    operators: BTreeMap<OperatorName, Operator>,
    tokens: Vec<Token>,
}

impl Access {
    /// Builds the rules from settings.
    #[must_use]
    pub fn new(operators: Vec<Operator>, tokens: Vec<Token>) -> Self {
        Self {
            operators: operators.into_iter().map(|o| (o.name.clone(), o)).collect(),
            tokens,
        }
    }

    /// Finds out who calls: by the bearer token, or on an open API by the header `operator`.
    ///
    /// # Errors
    ///
    /// Refuses a missing or unknown token, and an operator name that can't be one.
    pub fn caller(&self, headers: &HeaderMap) -> Result<Caller, ApiError> {
        if self.tokens.is_empty() {
            return self.open(headers);
        }
        let secret = headers
            .get(AUTHORIZATION)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.strip_prefix("Bearer "))
            .ok_or_else(|| ApiError::new(ResultCode::TokenMissing, ""))?;
        let secret = Digest::of(secret.as_bytes());
        // Digests are compared in constant time and all tokens are looked at, so that the time of
        // an answer tells nothing of how much of a guessed token fits.
        let mut found = None;
        for token in &self.tokens {
            let same = token
                .secret
                .as_str()
                .as_bytes()
                .ct_eq(secret.as_str().as_bytes());
            if bool::from(same) {
                found = Some(token.caller.clone());
            }
        }
        found.ok_or_else(|| ApiError::new(ResultCode::TokenMissing, "the token is not known"))
    }

    /// Checks that `signature` is the signature of `digest` by an operator who may change `team`.
    ///
    /// # Errors
    ///
    /// Refuses an unknown operator, a signature that doesn't fit, and an operator of the role `view`
    /// or of another team.
    pub fn verify(
        &self,
        name: &OperatorName,
        team: &TeamName,
        digest: &Digest,
        signature: &str,
    ) -> Result<(), ApiError> {
        let bad = |text: String| ApiError::new(ResultCode::SignatureBad, text);
        let Some(operator) = self.operators.get(name) else {
            return Err(bad(format!("operator {name} has no key in --operator")));
        };
        let bytes = STANDARD
            .decode(signature)
            .map_err(|e| bad(format!("signature: {e}")))?;
        let parsed = Signature::from_slice(&bytes).map_err(|e| bad(format!("signature: {e}")))?;
        operator
            .key
            .verify_strict(digest.as_str().as_bytes(), &parsed)
            .map_err(|_| {
                bad(format!(
                    "signature of {name} does not fit digest {digest} and the key of {name}"
                ))
            })?;
        let signer = Caller {
            name: Some(name.clone()),
            role: operator.role,
            scope: operator.scope.clone(),
        };
        signer.operate()?;
        signer.touch(team)
    }

    /// On an open API everybody may do everything, but an operator known from the settings keeps
    /// the role and team set there.
    fn open(&self, headers: &HeaderMap) -> Result<Caller, ApiError> {
        let Some(value) = headers.get("operator") else {
            return Ok(Caller {
                name: None,
                role: Role::Operate,
                scope: Scope::Every,
            });
        };
        let text = String::from_utf8_lossy(value.as_bytes());
        let name = operator_name(&text)
            .map_err(|reason| ApiError::field("header operator", &text, &reason))?;
        let known = self.operators.get(&name);
        Ok(Caller {
            role: known.map_or(Role::Operate, |o| o.role),
            scope: known.map_or(Scope::Every, |o| o.scope.clone()),
            name: Some(name),
        })
    }
}

fn operator_name(text: &str) -> Result<OperatorName, String> {
    let name = OperatorName::new(text);
    if name.is_valid() {
        Ok(name)
    } else {
        Err("operator name is not 1 to 64 characters of a-z 0-9 - _ .".to_owned())
    }
}
