import type {Dispatcher} from 'undici';
import type buildConnector from 'undici/lib/core/connect.js';
import {EndlessResponseError} from './endless-response-error.js';
import {ReadGate} from './read-gate.js';

/**
 * Maximum bytes that a connection may send without the head of a final response, data of a body or the end of a
 * response. Heads of servers have some hundred bytes, and undici bounds the fields of a head to 16 KB. It bounds
 * neither status lines, spaces, empty lines, informational responses nor what precedes the data of a chunk.
 */
const maxUnusedBytes = 64 * 1024;

/** Lowest status of a final response. Lower ones are informational. */
const finalStatus = 200;

/**
 * Reads responses of an undici client truthfully when their connection ends, and closes connections whose bytes never
 * become a response. Alone, undici takes a reset for the end of a response without a content length, does not expect
 * the connection of a paused response to end, and reads some bytes that are no part of a response without a bound.
 */
export class ConnectionGuard {
	/** @param connect opens the connections of the client, which must use `connect` of the guard instead */
	static create(connect: buildConnector.connector): ConnectionGuard {
		return new ConnectionGuard(connect);
	}

	/** Opens a connection whose errors are recorded before undici handles them. */
	readonly connect: buildConnector.connector;
	/** Whether a connection error occurred in the current event loop turn. */
	private _hasConnectionError = false;
	/** Gate of the connection that was read last. undici handles the data in the same call. */
	private _lastGate: ReadGate | undefined;
	/** Gates of the connections that have carried the head of a final response. */
	private readonly _responded = new WeakSet<ReadGate>();
	private _isFirstResponse = true;

	private constructor(connect: buildConnector.connector) {
		this.connect = (options, callback) => {
			connect(options, (...result) => {
				const [, socket] = result;
				if (socket) {
					ReadGate.create(socket, gate => {
						this._lastGate = gate;
						const {unusedBytes} = gate;
						if (unusedBytes > maxUnusedBytes) {
							socket.destroy(
								EndlessResponseError.create('head or chunk', unusedBytes),
							);
						}
					});
					socket.prependListener('error', () => {
						this._noteConnectionError();
					});
					socket.prependListener('end', () => {
						// Node.js reports data that arrives together with a reset as data and 'end'. The remote port is then unknown.
						if (socket.remotePort === undefined) {
							this._noteConnectionError();
						}
					});
				}

				callback(...result);
			});
		};
	}

	/** Whether the final response whose head is being handled is the first one of its connection. */
	get isFirstResponse(): boolean {
		return this._isFirstResponse;
	}

	/** Wraps the handler of a request. A pause of its controller pauses the connection. */
	wrap(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
		const hasConnectionError = () => this._hasConnectionError;
		const lastGate = () => this._lastGate;
		/** Gate of the response's connection, until the response ends. */
		let gate: ReadGate | undefined;
		let controller: Dispatcher.DispatchController | undefined;
		const noteResponse = (responding: ReadGate | undefined) => {
			this._isFirstResponse =
				responding !== undefined && !this._responded.has(responding);
			if (responding !== undefined) {
				this._responded.add(responding);
			}
		};

		const releaseGate = () => {
			gate?.noteUse();
			gate?.open();
			gate = undefined;
		};

		return {
			onRequestStart(started, context) {
				controller = {
					get aborted() {
						return started.aborted;
					},
					get paused() {
						return gate?.isClosed ?? false;
					},
					get reason() {
						return started.reason;
					},
					abort(reason) {
						started.abort(reason);
					},
					pause() {
						gate?.close();
					},
					resume() {
						gate?.open();
					},
				};
				handler.onRequestStart?.(controller, context);
			},
			onRequestUpgrade(_started, ...args) {
				handler.onRequestUpgrade?.(controller!, ...args);
			},
			onResponseStart(_started, status, ...args) {
				gate = lastGate();
				if (status >= finalStatus) {
					gate?.noteUse();
					noteResponse(gate);
				}

				handler.onResponseStart?.(controller!, status, ...args);
			},
			onResponseData(_started, chunk) {
				gate?.noteUse();
				handler.onResponseData?.(controller!, chunk);
			},
			onResponseEnd(_started, trailers) {
				releaseGate();
				if (hasConnectionError()) {
					handler.onResponseError?.(controller!, new Error('connection reset'));
				} else {
					handler.onResponseEnd?.(controller!, trailers);
				}
			},
			onResponseError(_started, err) {
				// The connection is about to be closed. The undici parser fails on data of a request that has ended: its
				// assertion then parses its source for a message, which stops a bundled process for seconds and longer.
				gate?.close();
				gate = undefined;
				handler.onResponseError?.(controller!, err);
			},
		};
	}

	/** Sets the error flag until the next microtask, since undici ends its requests in the same turn as the error. */
	private _noteConnectionError(): void {
		this._hasConnectionError = true;
		queueMicrotask(() => {
			this._hasConnectionError = false;
		});
	}
}
