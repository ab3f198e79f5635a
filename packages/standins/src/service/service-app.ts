import type {FastifyReply, FastifyRequest} from 'fastify';
import {AppServer} from '../common/app-server.js';
import {BackendProcess} from '../common/backend-process.js';
import {BackendRecorder} from '../common/backend-recorder.js';
import {registerControl} from '../common/control.js';
import {FaultInjector} from '../common/fault-injector.js';
import type {Flags} from '../common/flags.js';
import {serviceFaultsSchema} from '../common/fault-schemas.js';
import {PlainService} from './plain-service.js';

/** Creates a plain service, which accepts any method on any path. */
export function createServiceApp(flags: Flags): AppServer {
	const server = AppServer.create();
	const faults = FaultInjector.create(serviceFaultsSchema);
	const recorder = BackendRecorder.create();
	const process = BackendProcess.create(
		server,
		recorder,
		flags.number('restart-ms', 500),
		() => {
			service.reset();
		},
	);
	const service = PlainService.create({
		name: flags.text('name') ?? 'service',
		serviceMs: flags.number('service-ms', 10),
		process,
		faults,
		recorder,
	});
	faults.register(server.app);
	registerControl(server.app, recorder, order => {
		if (order.order === 'crash') {
			process.crash(order.downMs);
		} else {
			process.restart();
		}
	});
	server.app.get('/server_info', () => ({
		boot_id: process.bootId,
		uptime_ms: process.uptimeMs(Date.now()),
		loaded_adapters: [],
		running: service.running,
		waiting: 0,
	}));
	server.app.all('/*', async (req: FastifyRequest, res: FastifyReply) =>
		service.call(req, res),
	);
	return server;
}
