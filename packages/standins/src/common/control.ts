import type {FastifyInstance} from 'fastify';
import type {BackendRecorder} from './backend-recorder.js';
import {readJson} from './fault-injector.js';
import {controlOrderSchema, type ControlOrder} from './fault-schemas.js';

/**
 * Serves the backend's record at `/record` and executes a test's control orders from `/control`. An order is executed
 * after its response is sent, because a crash or a restart closes the connection.
 */
export function registerControl(
	app: FastifyInstance,
	recorder: BackendRecorder,
	executeOrder: (order: ControlOrder) => void,
): void {
	app.get('/record', () => recorder.toRecord());
	app.delete('/record', () => {
		recorder.clear();
		return {cleared: true};
	});
	app.post('/control', async (req, res) => {
		const order = controlOrderSchema.parse(readJson(req.body));
		await res.send({order: order.order});
		setImmediate(() => {
			executeOrder(order);
		});
	});
}
