//! Type aliases for ids and units that several modules share.

/// Name of a client account.
pub type AccountId = String;
/// Name of a model, without its version.
pub type ModelId = String;
/// Name of a model's version, written `model@version`.
pub type VersionId = String;
/// Name of an endpoint.
pub type EndpointId = String;
/// Name of a plain service, which isn't a model engine.
pub type ServiceId = String;
/// Name of a request class.
pub type ClassId = String;
/// Name of a cascade.
pub type CascadeId = String;
/// Name of a roll-out.
pub type RolloutId = String;
/// Name of a VM of this deployment.
pub type VmId = String;
/// Name of a failure domain.
pub type DomainId = String;
/// Id of an operator's change, the same for all its retries.
pub type ChangeId = String;
/// Id of a request, assigned by the VM that received it.
pub type RequestId = String;
/// Id of a session, assigned by the caller or by the VM that opened it.
pub type SessionId = String;
/// Offset of a record in a stream of the log service.
pub type Offset = u64;
/// Incarnation of a process on a VM; each restart has a new one.
pub type Incarnation = u64;
/// Number of an attempt at a request, counted by the caller from 1.
pub type Attempt = u32;
/// Amount of money in millionths of the deployment's currency.
pub type Micros = u64;
/// Share or score in thousandths.
pub type Permille = u32;
