import {randomInt, randomUUID} from 'node:crypto';
import {createRandom, type Random} from '@balsamtray/core';
import {ConfigTask} from '../config/config-task.js';
import {PeerConfigClient} from '../config/peer-config-client.js';
import {MembershipTask} from '../membership/membership-task.js';
import type {CommonProcessSettings} from '../settings/settings.js';
import {ConfigStore} from '../store/config-store.js';
import {ObjectClient} from '../store/object-client.js';
import {TableClient} from '../store/table-client.js';
import {TlsMaterial} from '../transport/tls-material.js';
import {Transport} from '../transport/transport.js';
import {PeerClient} from './peer-client.js';
import {createTelemetry, type ProcessTelemetry} from './telemetry.js';

/** Timeout of a call to the platform's services, in milliseconds. */
const storeTimeoutMs = 2000;

/** Timeout of an exchange of configuration versions with a peer, in milliseconds. */
const exchangeTimeoutMs = 500;
/** Timeout of reading configuration changes from a peer, in milliseconds. */
const pullTimeoutMs = 2000;

/** Tasks and clients that both roles use. */
export type ProcessBase = {
	/** Identifier of this start of the process. */
	readonly incarnation: string;
	readonly telemetry: ProcessTelemetry;
	readonly transport: Transport;
	readonly membership: MembershipTask;
	readonly table: TableClient;
	readonly store: ConfigStore;
	readonly objects: ObjectClient;
	readonly config: ConfigTask;
	readonly peerClient: PeerClient;
	/** Stops the tasks, releases sockets, timers and files, and flushes the telemetry. */
	close(): Promise<void>;
};

function createTls(
	settings: CommonProcessSettings,
	telemetry: ProcessTelemetry,
): TlsMaterial | undefined {
	const {transport, tlsCertFile, tlsKeyFile, tlsCaFile} = settings;
	if (
		transport === 'plain' ||
		tlsCertFile === undefined ||
		tlsKeyFile === undefined ||
		tlsCaFile === undefined
	) {
		return undefined;
	}

	return TlsMaterial.create(
		{certFile: tlsCertFile, keyFile: tlsKeyFile, caFile: tlsCaFile},
		err => {
			telemetry.logger.warn('tls.reread_failed', {message: String(err)});
		},
	);
}

function createSeededRandom(): Random {
	return createRandom(randomInt(2 ** 32));
}

/** Creates the tasks and clients that both roles use. Starts none of them. */
export function createProcessBase(
	settings: CommonProcessSettings,
): ProcessBase {
	const telemetry = createTelemetry(settings);
	const tls = createTls(settings, telemetry);
	const transport = Transport.create(tls);
	const {hostId, environment} = settings;
	const membership = MembershipTask.create({
		url: settings.hostsUrl,
		telemetry,
		random: createSeededRandom(),
	});
	const table = TableClient.create({
		url: settings.tableUrl,
		timeoutMs: storeTimeoutMs,
	});
	const objects = ObjectClient.create({
		url: settings.objectUrl,
		timeoutMs: storeTimeoutMs,
	});
	const store = ConfigStore.create({environment, table, objects});
	const peers = PeerConfigClient.create({
		id: hostId,
		peerUrl: address => transport.peerUrl(address),
		peerDispatcher: () => transport.peerDispatcher(),
		exchangeTimeoutMs,
		pullTimeoutMs,
	});
	const config = ConfigTask.create({
		id: hostId,
		clock: Date.now,
		random: createSeededRandom(),
		store,
		membership,
		peers,
		telemetry,
	});
	return {
		incarnation: randomUUID(),
		telemetry,
		transport,
		membership,
		table,
		store,
		objects,
		config,
		peerClient: PeerClient.create(hostId, transport),
		async close() {
			await config.stop();
			await membership.stop();
			transport.dispose();
			tls?.dispose();
			await telemetry.close();
		},
	};
}
