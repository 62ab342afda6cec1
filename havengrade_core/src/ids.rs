//! Type aliases for the ids that travel between modules.

/// Name of a client account.
pub type AccountId = String;
/// Name of a model, without its version.
pub type ModelId = String;
/// Name of a model's version, written `model@version`.
pub type VersionId = String;
/// Name of an endpoint.
pub type EndpointId = String;
/// Name of a plain service that stands beside the model engines.
pub type ServiceId = String;
/// Name of a request class.
pub type ClassId = String;
/// Name of a cascade.
pub type CascadeId = String;
/// Name of a roll-out.
pub type RolloutId = String;
/// Name of a VM of our own.
pub type VmId = String;
/// Name of a failure domain.
pub type DomainId = String;
/// Id that an operator's change keeps over all its retries.
pub type ChangeId = String;
/// Id of one request, given by the VM that received it.
pub type RequestId = String;
/// Id of a session, given by the caller or by the VM that opened it.
pub type SessionId = String;
/// Position of a record in a stream of the log service.
pub type Offset = u64;
/// One run of a process on a VM; a restarted process has another.
pub type Incarnation = u64;
/// The number of an attempt at one request, counted by its caller from 1.
pub type Attempt = u32;
/// Money in millionths of the deployment's currency.
pub type Micros = u64;
/// A share or a score in thousandths.
pub type Permille = u32;
