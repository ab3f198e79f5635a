import type {ServerResponse} from 'node:http';

/** Whether a length or chunks mark the end of a caller's response, and not only the end of its connection. */
export function isFramed(res: ServerResponse): boolean {
	return res.useChunkedEncodingByDefault;
}

/** Ends a response whose headers are sent so that the caller sees that it is not complete. */
export function cutResponse(res: ServerResponse): void {
	if (isFramed(res)) {
		res.destroy();
	} else {
		// A close would look like the end of the response.
		res.socket?.resetAndDestroy();
	}
}
