//! Request bodies in each framing that HTTP/1.1 allows, as bytes on the socket.
