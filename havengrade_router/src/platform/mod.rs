//! The platform's services as trait objects, with adapters over HTTP.

mod log_service;
mod rating;
mod vm_list;

pub use self::{
    log_service::{HttpLogService, LogError, LogRecord, LogService, LogSlice, LogStream},
    rating::{HttpRatingService, RatingRequest, RatingService},
    vm_list::{HttpVmList, ListedEndpoint, VmList, VmListing},
};
