"""HTTP/1.1 on both sides, over h11 and trio."""
