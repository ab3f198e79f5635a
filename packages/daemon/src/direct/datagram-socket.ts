import {createSocket, type Socket} from 'node:dgram';
import {parseGossipMessage, type GossipMessage} from '@balsamtray/protocol';
import type {Endpoint} from './types.js';

type MessageListener = (message: GossipMessage, from: Endpoint) => void;

/** Sends and receives gossip messages by UDP. Delivery is best effort: a send error drops the message. */
export class DatagramSocket {
	/**
	 * Binds a socket. Rejects if the endpoint can't be bound. Malformed datagrams are ignored.
	 *
	 * @param onError called for errors of the socket, of single sends and of the listener: one message ends no process
	 */
	static async open(
		endpoint: Endpoint,
		onMessage: MessageListener,
		onError: (err: Error) => void,
	): Promise<DatagramSocket> {
		const socket = createSocket('udp4');
		socket.on('message', (bytes, {address, port}) => {
			const message = parseGossipMessage(bytes);
			if (message === undefined) {
				return;
			}

			try {
				onMessage(message, {host: address, port});
			} catch (error) {
				onError(
					new Error(
						`${message.type} from ${address}:${port}: ${String(error)}`,
					),
				);
			}
		});
		await new Promise<void>((resolve, reject) => {
			socket.once('error', reject);
			socket.bind(endpoint.port, endpoint.host, () => {
				socket.off('error', reject);
				resolve();
			});
		});
		return new DatagramSocket(socket, onError);
	}

	private constructor(
		private readonly _socket: Socket,
		private readonly _onError: (err: Error) => void,
	) {
		_socket.on('error', _onError);
	}

	send(message: GossipMessage, {host, port}: Endpoint): void {
		try {
			this._socket.send(JSON.stringify(message), port, host, err => {
				if (err !== null) {
					this._onError(err);
				}
			});
		} catch (error) {
			// A port that does not exist, for example.
			this._onError(
				new Error(`${message.type} to ${host}:${port}: ${String(error)}`),
			);
		}
	}

	dispose(): void {
		this._socket.close();
	}
}
