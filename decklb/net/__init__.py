"""The platform's own protocols: the listener for client frames, the engine client over RESP, the directory over DNS."""
