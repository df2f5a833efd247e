//! Small stand-ins for the platform's services and the backend servers.
